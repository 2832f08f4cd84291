"""Versions of the service whose controllers a simulated cluster can run: the current one and the one in production.

The production version is the package at the commit that `deploy/service.toml` names, taken from the repository's
history. It is imported beside the current one under another package name and is otherwise unchanged.
"""

from __future__ import annotations

import atexit
import functools
import importlib
import io
import re
import shutil
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
CURRENT_PACKAGE = "tealhook"
PRODUCTION_PACKAGE = "tealhook_production"
_IMPORT = re.compile(rf"^(\s*(?:from|import) ){CURRENT_PACKAGE}\b", re.MULTILINE)


class MissingCommitError(Exception):
    """The clone lacks the commit that runs in production."""


@dataclass(frozen=True)
class Version:
    """The parts of a version that a simulated cluster needs to run its controllers."""

    package: str
    controller: Callable[..., Any]
    parse_settings: Callable[[str, str], Any]
    load_policy: Callable[[None], Any]
    request: Callable[..., Any]

    def module(self, name: str) -> ModuleType:
        """Return a module of this version by its name inside the package."""
        return importlib.import_module(f"{self.package}.{name}")

    def modules(self) -> list[str]:
        """Return the names of all modules of this version that are imported."""
        prefix = self.package + "."
        return sorted(name.removeprefix(prefix) for name in sys.modules if name.startswith(prefix))


def _version(package: str) -> Version:
    def module(name: str) -> ModuleType:
        return importlib.import_module(f"{package}.{name}")

    return Version(
        package,
        module("controller").Controller,
        module("settings.platform").parse_settings,
        module("settings").load_policy,
        module("http").Request,
    )


@functools.cache
def current_version() -> Version:
    """Return the version of the working tree."""
    return _version(CURRENT_PACKAGE)


def production_commit() -> str:
    """Return the commit in production that the deploy file names."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
    return deploy["production"]


def _archive(commit: str) -> bytes:
    command = ["git", "-C", str(ROOT), "archive", "--format=tar", commit, CURRENT_PACKAGE]
    completed = subprocess.run(command, capture_output=True, check=False)
    if completed.returncode:
        raise MissingCommitError(
            f"the production version can't be tested: git archive of commit {commit}, which deploy/service.toml names, "
            f"failed; a full clone of the repository is needed: {completed.stderr.decode(errors='replace').strip()}"
        )
    return completed.stdout


def archived_modules(commit: str) -> dict[str, bytes]:
    """Return the sources of the package's modules at a commit by their paths inside the package."""
    with tarfile.open(fileobj=io.BytesIO(_archive(commit))) as archive:
        members = [member for member in archive.getmembers() if member.name.endswith(".py")]
        return {
            member.name.removeprefix(f"{CURRENT_PACKAGE}/"): archive.extractfile(member).read() for member in members
        }


def extract_package(commit: str, folder: Path) -> Path:
    """Extract the package of a commit under its other name and rewrite only its import statements."""
    with tarfile.open(fileobj=io.BytesIO(_archive(commit))) as archive:
        archive.extractall(folder, filter="data")
    package = (folder / CURRENT_PACKAGE).rename(folder / PRODUCTION_PACKAGE)
    for path in package.rglob("*.py"):
        source = path.read_text(encoding="utf-8")
        path.write_text(_IMPORT.sub(rf"\g<1>{PRODUCTION_PACKAGE}", source), encoding="utf-8")
    return package


@functools.cache
def production_version() -> Version:
    """Return the version in production, which each process imports once."""
    folder = Path(tempfile.mkdtemp(prefix="tealhook-production-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    extract_package(production_commit(), folder)
    sys.path.insert(0, str(folder))
    try:
        return _version(PRODUCTION_PACKAGE)
    finally:
        sys.path.remove(str(folder))


def owned_partitions(controller: Any) -> dict[str, Any]:
    """Return the partitions that a controller of either version owns, by zone."""
    if hasattr(controller, "partition_manager"):
        return controller.partition_manager.partitions
    return controller.parts.parts  # the version in production


def active_jobs(controller: Any) -> dict[str, Any]:
    """Return the jobs that a controller of either version considers active, by id."""
    return controller.job_index.active if hasattr(controller, "job_index") else controller.book.active
