"""Versions of the service whose controllers a cluster can run: the present one, and the one in production.

The production version is the package as it stood at the commit that `deploy/service.toml` names, taken from the
repository's own history. It is imported beside the present one under another package name; nothing else of it changes.
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
    """What a cluster needs of a version to run its controllers."""

    package: str
    controller: Callable[..., Any]
    parse_settings: Callable[[str, str], Any]
    load_policy: Callable[[None], Any]
    request: Callable[..., Any]

    def module(self, name: str) -> ModuleType:
        """A module of this version by its name inside the package."""
        return importlib.import_module(f"{self.package}.{name}")

    def modules(self) -> list[str]:
        """The names of all modules of this version that are imported."""
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
    """The version of the working tree."""
    return _version(CURRENT_PACKAGE)


def production_commit() -> str:
    """The commit in production, as the deploy file names it."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
    return deploy["production"]


def _archive(commit: str) -> bytes:
    command = ["git", "-C", str(ROOT), "archive", "--format=tar", commit, CURRENT_PACKAGE]
    done = subprocess.run(command, capture_output=True, check=False)
    if done.returncode:
        raise MissingCommitError(
            f"the production version can't be tested: git archive of commit {commit}, which deploy/service.toml names, "
            f"failed; a full clone of the repository is needed: {done.stderr.decode(errors='replace').strip()}"
        )
    return done.stdout


def archived_modules(commit: str) -> dict[str, bytes]:
    """The modules of the package at a commit, by their paths inside it."""
    with tarfile.open(fileobj=io.BytesIO(_archive(commit))) as archive:
        members = [member for member in archive.getmembers() if member.name.endswith(".py")]
        return {
            member.name.removeprefix(f"{CURRENT_PACKAGE}/"): archive.extractfile(member).read() for member in members
        }


def extract_package(commit: str, folder: Path) -> Path:
    """Lay out the package of a commit under its other name; only its import statements are rewritten."""
    with tarfile.open(fileobj=io.BytesIO(_archive(commit))) as archive:
        archive.extractall(folder, filter="data")
    package = (folder / CURRENT_PACKAGE).rename(folder / PRODUCTION_PACKAGE)
    for path in package.rglob("*.py"):
        source = path.read_text(encoding="utf-8")
        path.write_text(_IMPORT.sub(rf"\g<1>{PRODUCTION_PACKAGE}", source), encoding="utf-8")
    return package


@functools.cache
def production_version() -> Version:
    """The version in production, imported once a process."""
    folder = Path(tempfile.mkdtemp(prefix="tealhook-production-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    extract_package(production_commit(), folder)
    sys.path.insert(0, str(folder))
    try:
        return _version(PRODUCTION_PACKAGE)
    finally:
        sys.path.remove(str(folder))


def owned_partitions(controller: Any) -> dict[str, Any]:
    """The partitions that a controller of either version owns, by zone."""
    if hasattr(controller, "partition_manager"):
        return controller.partition_manager.partitions
    return controller.parts.parts  # the version in production


def active_jobs(controller: Any) -> dict[str, Any]:
    """The jobs that a controller of either version takes for active, by id."""
    return controller.job_index.active if hasattr(controller, "job_index") else controller.book.active
