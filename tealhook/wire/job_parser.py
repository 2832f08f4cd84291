"""Decodes submissions and checks them field by field."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from tealhook.errors import TealhookError
from tealhook.wire.users import JobKind, JobPriority, JobSpec, is_valid_job_id

MAX_TASKS = 100_000
MAX_JOB_CLASS_LENGTH = 200  # characters; the name goes along with demand from node to node


class InvalidJobError(TealhookError, ValueError):
    """A submission that is malformed (400); the text names the field, by its name on the wire, and the problem."""

    def __init__(self, problem: str, field: str | None = None, job_id: str | None = None) -> None:
        """`field` is None where the whole body is malformed, `job_id` where none can be read: that repeats no job."""
        super().__init__(f"{field}: {problem}" if field is not None else problem)
        self.problem = problem
        self.field = field
        self.job_id = job_id


_fields_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_value_decoder = msgspec.json.Decoder()
_AFTER_NAME = re.compile(r'"\s*:')  # follows each name of an object, and rarely stands elsewhere


def _name(value: Any) -> str:
    if type(value) is not str or not value:
        raise InvalidJobError("must be a string, and not empty")
    return value


def _job_class(value: Any) -> str:
    if len(_name(value)) > MAX_JOB_CLASS_LENGTH:
        raise InvalidJobError(f"must have at most {MAX_JOB_CLASS_LENGTH} characters")
    return value


def _one_of(names: Iterable[str]) -> Callable[[Any], str]:
    def check(value: Any) -> str:
        if type(value) is not str or value not in names:
            raise InvalidJobError(f"must be one of {', '.join(names)}")
        return value

    return check


def _task_count(value: Any) -> int:
    # A count is an integer: 16.0 is an amount, as true is a flag.
    if type(value) is not int or not 1 <= value <= MAX_TASKS:
        raise InvalidJobError(f"must be an integer between 1 and {MAX_TASKS}")
    return value


def _amount(value: Any) -> float:
    if type(value) is int or type(value) is float:
        try:
            amount = float(value)
        except OverflowError:
            amount = math.inf
        if math.isfinite(amount) and amount >= 0:
            return amount + 0.0  # -0.0 is 0.0
    raise InvalidJobError("must be a number, finite and not negative")


def _flag(value: Any) -> bool:
    if type(value) is not bool:
        raise InvalidJobError("must be true or false")
    return value


def _machine_types(value: Any) -> list[str]:
    if type(value) is not list or not value:
        raise InvalidJobError("must be a list of at least one type, or null")
    return [_name(machine_type) for machine_type in value]


def _job_ids(value: Any) -> list[str]:
    if type(value) is not list or not all(type(job) is str and is_valid_job_id(job) for job in value):
        raise InvalidJobError("must be a list of job ids, or null")
    return list(dict.fromkeys(value))  # to name a job twice says nothing more


# Each field of a submission but its id, by its name on the wire; NULLABLE may be null or left out.
_CHECKS: dict[str, Callable[[Any], Any]] = {
    "lineup": _job_class,
    "crew": _name,
    "shape": _one_of(tuple(JobKind)),
    "urgency": _one_of(tuple(JobPriority)),
    "plays": _task_count,
    "vcpus": _amount,
    "cards": _amount,
    "memory_gb": _amount,
    "playbook": _name,
    "pull_gb": _amount,
    "rigs": _machine_types,
    "yard": _name,
    "together": _flag,
    "spread": _flag,
    "loaners": _flag,
    "expected_s": _amount,
    "snapshot_every_s": _amount,
    "snapshot_s": _amount,
    "due_s": _amount,
    "waits_on": _job_ids,
}
_ATTRIBUTES = {field.encode_name: field.name for field in msgspec.structs.fields(JobSpec)}
NULLABLE = frozenset(("rigs", "yard", "due_s", "waits_on"))


def _repeated(text: str, fields: dict[str, msgspec.Raw]) -> set[str]:
    """Names that an object has more than once: nobody can say which of their values is meant."""
    if len(_AFTER_NAME.findall(text)) == len(fields):
        return set()  # as many names as fields, so each once
    seen: set[str] = set()
    repeated: set[str] = set()
    for name, _text in json.loads(text, object_pairs_hook=list, parse_int=str, parse_float=str):
        (repeated if name in seen else seen).add(name)
    return repeated


def _value(fields: dict[str, msgspec.Raw], name: str) -> Any:
    """What a field holds; None also when it is missing."""
    raw = fields.get(name)
    if raw is None:
        return None
    try:
        return _value_decoder.decode(raw)
    except msgspec.DecodeError as exc:  # a number too large for any type, for one
        raise InvalidJobError(str(exc)) from None


def _checked(fields: dict[str, msgspec.Raw], name: str) -> Any:
    try:
        value = _value(fields, name)
        if value is None:
            if name in NULLABLE:
                return None
            raise InvalidJobError("must not be null" if name in fields else "missing")
        return _CHECKS[name](value)
    except InvalidJobError as exc:
        raise InvalidJobError(exc.problem, name) from None


def _checked_spec(job_id: str, fields: dict[str, msgspec.Raw], repeated: set[str]) -> JobSpec:
    for name in _CHECKS:
        if name in repeated:
            raise InvalidJobError("given more than once", name)
    values = {name: _checked(fields, name) for name in _CHECKS}
    spec = JobSpec(job_id, **{_ATTRIBUTES[name]: value for name, value in values.items()})
    spec.depends_on = spec.depends_on or []
    if spec.vcpus == 0 and spec.gpus == 0 and spec.memory_gb == 0:
        raise InvalidJobError("a task must take something", "vcpus, cards, memory_gb")
    # Malformed, not 422: the fields contradict each other, whatever teams and types there are.
    if spec.spread and spec.task_count > 1 and (spec.single_zone or spec.zone is not None):
        raise InvalidJobError("contradicts together or yard, which ask for one zone", "spread")
    return spec


def parse_job(body: bytes) -> JobSpec:
    """Decode and check a submission; raises InvalidJobError when it is malformed.

    The id is read first, and alone: with it, even a malformed body may repeat a job that was accepted.
    """
    try:
        text = str(body, "utf-8")
        fields = _fields_decoder.decode(text)
        repeated = _repeated(text, fields)
    except (msgspec.DecodeError, ValueError, RecursionError) as exc:
        raise InvalidJobError(str(exc)) from None
    job_id = _value(fields, "name_id")
    if type(job_id) is not str or not is_valid_job_id(job_id) or "name_id" in repeated:
        raise InvalidJobError("not a job id, or not one alone", "name_id")
    try:
        return _checked_spec(job_id, fields, repeated)
    except InvalidJobError as exc:
        raise InvalidJobError(exc.problem, exc.field, job_id) from None
