"""Users -> controllers: jobs as submitted, and what is answered about them."""

from __future__ import annotations

import math
import re

import msgspec

MAX_TASKS = 100_000
URGENCIES = ("low", "standard", "urgent", "production")
ARRAY, GANG, SERVICE = "array", "group", "service"
SHAPES = (ARRAY, GANG, SERVICE)
URGENCY_RANK = {name: rank for rank, name in enumerate(URGENCIES)}
_JOB_ID = re.compile(r"req-[0-9A-Za-z_.-]{1,64}\Z")


class BadSpec(ValueError):
    """A submission that is malformed (400)."""


class JobSpec(msgspec.Struct, omit_defaults=True):
    """A submission, field by field as users send it."""

    name_id: str
    lineup: str
    crew: str
    shape: str
    urgency: str
    plays: int
    vcpus: float
    memory_gb: float
    cards: float = 0.0
    playbook: str | None = None
    pull_gb: float = 0.0
    rigs: list[str] | None = None
    yard: str | None = None
    together: bool = False
    spread: bool = False
    loaners: bool = False
    expected_s: float = 0.0
    snapshot_every_s: float = 0.0
    snapshot_s: float = 0.0
    due_s: float | None = None

    @property
    def need(self) -> tuple[float, float, float]:
        """CPUs, cards and memory that one task takes of its machine."""
        return (self.vcpus, self.cards, self.memory_gb)


class JobStatus(msgspec.Struct, omit_defaults=True):
    """The answer to a poll, a submission or a cancellation."""

    name_id: str
    status: str
    done: int | None = None
    running: int | None = None


def valid_job_id(text: str) -> bool:
    """Whether `text` has the form of a job id."""
    return bool(_JOB_ID.match(text))


_decoder = msgspec.json.Decoder(dict)


def _drop_nulls(raw: dict) -> dict:
    return {key: value for key, value in raw.items() if value is not None}


def parse_job(body: bytes) -> JobSpec:
    """Decode and check a submission; raises BadSpec when it is malformed."""
    try:
        raw = _decoder.decode(body)
        spec = msgspec.convert(_drop_nulls(raw), JobSpec)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, UnicodeDecodeError) as exc:
        raise BadSpec(str(exc)) from None
    if not valid_job_id(spec.name_id):
        raise BadSpec("name_id: not a job id")
    if not spec.lineup or not spec.crew or len(spec.lineup) > 200 or len(spec.crew) > 120:
        raise BadSpec("lineup, crew: must be present and short")
    if spec.shape not in SHAPES:
        raise BadSpec(f"shape: must be one of {', '.join(SHAPES)}")
    if spec.urgency not in URGENCY_RANK:
        raise BadSpec("urgency: unknown")
    if not 1 <= spec.plays <= MAX_TASKS:
        raise BadSpec(f"plays: must lie between 1 and {MAX_TASKS}")
    for name in ("vcpus", "cards", "memory_gb", "pull_gb", "expected_s", "snapshot_every_s", "snapshot_s"):
        value = getattr(spec, name)
        if not math.isfinite(value) or value < 0:
            raise BadSpec(f"{name}: must be finite and not negative")
    if spec.due_s is not None and not (math.isfinite(spec.due_s) and spec.due_s >= 0):
        raise BadSpec("due_s: must be finite and not negative")
    if spec.vcpus == 0 and spec.cards == 0 and spec.memory_gb == 0:
        raise BadSpec("vcpus, cards, memory_gb: a task must take something")
    if spec.rigs is not None and (not spec.rigs or len(spec.rigs) > 256):
        raise BadSpec("rigs: must name at least one type")
    if spec.pull_gb > 0 and not spec.playbook:
        raise BadSpec("playbook: missing")
    return spec
