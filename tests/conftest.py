"""Tests known to fail for a fault that is not mended yet: `KNOWN-RED.txt` at the root names them, three at most.

They are passed over and printed; one that passes fails the run, and so does a name that no test bears. A line is
`test, cause, issue`, the test by its node id.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MAX_KNOWN_RED = 3
KNOWN_RED_FILE = "KNOWN-RED.txt"


def known_red(text: str) -> dict[str, str]:
    """Node ids with causes and issues; raises UsageError when the list is not one."""
    found = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        test, _, why = line.partition(", ")
        if not why.rpartition(", ")[0]:
            raise pytest.UsageError(f"{KNOWN_RED_FILE}: not `test, cause, issue`: {line}")
        found[test] = why
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
    whole = not config.args or [Path(arg).name for arg in config.args] == ["tests"]
    unknown += [test for test in listed if whole and test.split("::")[0] not in files]
    if unknown and not any("::" in arg for arg in config.args):
        raise pytest.UsageError(f"{KNOWN_RED_FILE}: no such test: {', '.join(unknown)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test, why in _read(config).items():
        terminalreporter.write_line(f"known red: {test}: {why}")
