"""Decoding of submissions, which are checked field by field."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from tealhook.errors import TealhookError
from tealhook.wire.users import JobKind, JobPriority, JobSpec, is_valid_job_id

MAX_TASKS = 100_000  # tasks of one job
MAX_JOB_CLASS_LENGTH = 200  # characters; nodes send the class to each other with the demand for it


class InvalidJobError(TealhookError, ValueError):
    """A malformed submission, which is answered with 400.

    The text names the field, by its name on the wire, and the problem.
    """

    def __init__(self, problem: str, field: str | None = None, job_id: str | None = None) -> None:
        """Initialize the error.

        `field` is None if the whole body is malformed. `job_id` is None if no valid id can be read, so the submission
        can't be a repetition of an accepted job.
        """
        super().__init__(f"{field}: {problem}" if field is not None else problem)
        self.problem = problem
        self.field = field
        self.job_id = job_id


_fields_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_value_decoder = msgspec.json.Decoder()
_NAME_END = re.compile(r'"\s*:')  # follows each name in an object and rarely occurs elsewhere


def _parse_name(value: Any) -> str:
    if type(value) is not str or not value:
        raise InvalidJobError("must be a non-empty string")
    return value


def _parse_job_class(value: Any) -> str:
    if len(_parse_name(value)) > MAX_JOB_CLASS_LENGTH:
        raise InvalidJobError(f"must have at most {MAX_JOB_CLASS_LENGTH} characters")
    return value


def _choice_parser(names: Iterable[str]) -> Callable[[Any], str]:
    def parse_choice(value: Any) -> str:
        if type(value) is not str or value not in names:
            raise InvalidJobError(f"must be one of {', '.join(names)}")
        return value

    return parse_choice


def _parse_task_count(value: Any) -> int:
    # isinstance would accept true; 16.0 is rejected as well, because a count is an integer.
    if type(value) is not int or not 1 <= value <= MAX_TASKS:
        raise InvalidJobError(f"must be an integer between 1 and {MAX_TASKS}")
    return value


def _parse_amount(value: Any) -> float:
    if type(value) is int or type(value) is float:
        try:
            amount = float(value)
        except OverflowError:
            amount = math.inf
        if math.isfinite(amount) and amount >= 0:
            return amount + 0.0  # Adding 0.0 turns -0.0 into 0.0.
    raise InvalidJobError("must be a finite number of at least 0")


def _parse_flag(value: Any) -> bool:
    if type(value) is not bool:
        raise InvalidJobError("must be true or false")
    return value


def _parse_machine_types(value: Any) -> list[str]:
    if type(value) is not list or not value:
        raise InvalidJobError("must be a non-empty list of machine types, or null")
    return [_parse_name(machine_type) for machine_type in value]


def _parse_job_ids(value: Any) -> list[str]:
    if type(value) is not list or not all(type(job) is str and is_valid_job_id(job) for job in value):
        raise InvalidJobError("must be a list of job ids, or null")
    return list(dict.fromkeys(value))  # Repeated dependencies have no effect.


# The parser of each field of a submission except its id, by the field's name on the wire.
_FIELD_PARSERS: dict[str, Callable[[Any], Any]] = {
    "lineup": _parse_job_class,
    "crew": _parse_name,
    "shape": _choice_parser(tuple(JobKind)),
    "urgency": _choice_parser(tuple(JobPriority)),
    "plays": _parse_task_count,
    "vcpus": _parse_amount,
    "cards": _parse_amount,
    "memory_gb": _parse_amount,
    "playbook": _parse_name,
    "pull_gb": _parse_amount,
    "rigs": _parse_machine_types,
    "yard": _parse_name,
    "together": _parse_flag,
    "spread": _parse_flag,
    "loaners": _parse_flag,
    "expected_s": _parse_amount,
    "snapshot_every_s": _parse_amount,
    "snapshot_s": _parse_amount,
    "due_s": _parse_amount,
    "waits_on": _parse_job_ids,
}
_ATTRIBUTES_BY_FIELD = {field.encode_name: field.name for field in msgspec.structs.fields(JobSpec)}
# Fields that may be null or missing.
NULLABLE_FIELDS = frozenset(("rigs", "yard", "due_s", "waits_on"))


def _find_repeated_names(text: str, fields: dict[str, msgspec.Raw]) -> set[str]:
    """Return the names that an object has more than once, because it is ambiguous which of their values is meant."""
    if len(_NAME_END.findall(text)) == len(fields):
        return set()  # There are as many names as fields, so each occurs once.
    seen: set[str] = set()
    repeated: set[str] = set()
    for name, _text in json.loads(text, object_pairs_hook=list, parse_int=str, parse_float=str):
        (repeated if name in seen else seen).add(name)
    return repeated


def _decode_field(fields: dict[str, msgspec.Raw], name: str) -> Any:
    """Decode the value of a field, and return None also if it is missing."""
    raw = fields.get(name)
    if raw is None:
        return None
    try:
        return _value_decoder.decode(raw)
    except msgspec.DecodeError as exc:  # For example, a number is out of range.
        raise InvalidJobError(str(exc)) from None


def _parse_field(fields: dict[str, msgspec.Raw], name: str) -> Any:
    try:
        value = _decode_field(fields, name)
        if value is None:
            if name in NULLABLE_FIELDS:
                return None
            raise InvalidJobError("must not be null" if name in fields else "missing")
        return _FIELD_PARSERS[name](value)
    except InvalidJobError as exc:
        raise InvalidJobError(exc.problem, name) from None


def _parse_spec(job_id: str, fields: dict[str, msgspec.Raw], repeated: set[str]) -> JobSpec:
    for name in _FIELD_PARSERS:
        if name in repeated:
            raise InvalidJobError("must be given only once", name)
    values = {name: _parse_field(fields, name) for name in _FIELD_PARSERS}
    spec = JobSpec(job_id, **{_ATTRIBUTES_BY_FIELD[name]: value for name, value in values.items()})
    spec.depends_on = spec.depends_on or []
    if spec.vcpus == 0 and spec.gpus == 0 and spec.memory_gb == 0:
        raise InvalidJobError("at least one of them must be greater than 0", "vcpus, cards, memory_gb")
    # This is malformed (400) rather than infeasible (422): the fields contradict each other whatever the teams and
    # machine types are.
    if spec.spread and spec.task_count > 1 and (spec.single_zone or spec.zone is not None):
        raise InvalidJobError("must be false for a job whose tasks run in a single zone (together or yard)", "spread")
    return spec


def parse_job(body: bytes) -> JobSpec:
    """Decode and check a submission.

    Raises InvalidJobError if it is malformed. The id is read first, by itself, because a malformed body with the id of
    an accepted job is answered as a repetition of that job.
    """
    try:
        text = str(body, "utf-8")
        fields = _fields_decoder.decode(text)
        repeated = _find_repeated_names(text, fields)
    except (msgspec.DecodeError, ValueError, RecursionError) as exc:
        raise InvalidJobError(str(exc)) from None
    job_id = _decode_field(fields, "name_id")
    if type(job_id) is not str or not is_valid_job_id(job_id) or "name_id" in repeated:
        raise InvalidJobError(
            "must be given once, as req- followed by 1 to 64 letters, digits, hyphens, underscores or periods",
            "name_id",
        )
    try:
        return _parse_spec(job_id, fields, repeated)
    except InvalidJobError as exc:
        raise InvalidJobError(exc.problem, exc.field, job_id) from None
