"""The list of tests known to fail excuses and prints only those tests, and must match the results."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import KNOWN_RED_FILE, known_red

TESTS = """
def test_red():
    assert False


def test_green():
    assert True
"""


def _run_pytest(root: Path, listed: str) -> tuple[int, str]:
    tests = root / "tests"
    tests.mkdir()
    (root / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (tests / "conftest.py").write_text(Path(__file__).with_name("conftest.py").read_text())
    (tests / "test_some.py").write_text(TESTS)
    (root / KNOWN_RED_FILE).write_text(listed)
    process = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"],
        cwd=root,
        capture_output=True,
        text=True,
        check=False,
    )
    return process.returncode, process.stdout + process.stderr


@pytest.mark.parametrize(
    ("listed", "expected_code", "expected_output"),
    [
        (
            "tests/test_some.py::test_red, not mended, 13\n",
            0,
            "known red: tests/test_some.py::test_red: not mended, 13",
        ),
        ("", 1, "1 failed"),
        ("tests/test_some.py::test_red, x, 13\ntests/test_some.py::test_green, x, 13\n", 1, "XPASS(strict)"),
        ("tests/test_some.py::test_none, x, 13\n", 4, "no such test"),
        ("tests/test_other.py::test_none, x, 13\n", 4, "no such test"),
    ],
)
def test_list_must_match_test_results(tmp_path, listed, expected_code, expected_output):
    code, output = _run_pytest(tmp_path, listed)
    assert code == expected_code and expected_output in output


@pytest.mark.parametrize(
    "text",
    [
        "tests/a.py::test_a\n",
        "tests/a.py::test_a, cause\n",
        "".join(f"tests/a.py::test_{i}, cause, 1\n" for i in range(4)),
    ],
)
def test_list_without_causes_or_too_long_is_rejected(text):
    with pytest.raises(pytest.UsageError):
        known_red(text)
