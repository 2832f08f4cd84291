"""Support for tests that are known to fail because of a fault that is not fixed yet.

`KNOWN-RED.txt` at the root lists at most three of them, one a line, as `test, cause, issue`; the test is given by its
node id. They are expected to fail and are printed at the end of the run. The run fails when one of them passes, or when
an entry names no test.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MAX_KNOWN_RED = 3
KNOWN_RED_FILE = "KNOWN-RED.txt"


def known_red(text: str) -> dict[str, str]:
    """Return the cause and issue of each listed node id; raise UsageError for an invalid list."""
    found = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        test, _, reason = line.partition(", ")
        if not reason.rpartition(", ")[0]:
            raise pytest.UsageError(f"{KNOWN_RED_FILE}: not `test, cause, issue`: {line}")
        found[test] = reason
    if len(found) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"{KNOWN_RED_FILE}: {len(found)} tests, at most {MAX_KNOWN_RED} may be known to fail")
    return found


def _read(config: pytest.Config) -> dict[str, str]:
    path = Path(config.rootpath) / KNOWN_RED_FILE
    return known_red(path.read_text(encoding="utf-8")) if path.exists() else {}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = _read(config)
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))
    files = {str(item.path.relative_to(config.rootpath)) for item in items}
    unknown = [test for test in listed if test.split("::")[0] in files and test not in {i.nodeid for i in items}]
    is_whole_suite = not config.args or [Path(arg).name for arg in config.args] == ["tests"]
    unknown += [test for test in listed if is_whole_suite and test.split("::")[0] not in files]
    if unknown and not any("::" in arg for arg in config.args):
        raise pytest.UsageError(f"{KNOWN_RED_FILE}: no such test: {', '.join(unknown)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test, reason in _read(config).items():
        terminalreporter.write_line(f"known red: {test}: {reason}")
