"""Messages between workers and controllers: heartbeats, commands and the answers to both.

`name=` gives the name of a field in the protocol where it differs from the attribute.
"""

from __future__ import annotations

import enum

import msgspec

HEARTBEAT_PATH = "/v1/report"
HEARTBEAT_ANSWER_TIMEOUT_S = 4.0  # Workers discard later answers.
# After a timeout a worker waits 1 s before it tries the next node, which redirects it within 0.5 s.
WORKER_FAILOVER_S = HEARTBEAT_ANSWER_TIMEOUT_S + 1.0 + 0.5
MAX_TASK_INDEX_DIGITS = 6


class TaskStatus(enum.StrEnum):
    """The state of a task on its machine."""

    FETCHING = "pulling"
    RUNNING = "running"
    CHECKPOINTING = "flushing"
    EXITED = "exited"


class ExitCause(enum.StrEnum):
    """The reason why a task exited or was not started."""

    DONE = "done"
    STOPPED = "halted"
    ERROR = "error"
    FULL = "full"
    BUSY = "busy"
    UNKNOWN = "unknown"


class CommandAction(enum.StrEnum):
    """The action that a command asks of a worker."""

    START = "launch"
    STOP = "kill"
    FORGET = "clear"


class TaskReport(msgspec.Struct, omit_defaults=True):
    """The status of one task in a worker's heartbeat."""

    task_id: str = msgspec.field(name="play")
    attempt: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    saved: bool | None = None


class Heartbeat(msgspec.Struct):
    """A worker's heartbeat with the status of all tasks on its machine."""

    machine: str = msgspec.field(name="box")
    address: str = msgspec.field(name="addr")
    machine_type: str = msgspec.field(name="rig")
    zone: str = msgspec.field(name="yard")
    session: int = msgspec.field(name="shift")
    sequence: int = msgspec.field(name="tick")
    fencing_token: int = msgspec.field(default=0, name="baton")
    spot: bool = msgspec.field(default=False, name="loaners")
    termination_notice_s: float | None = msgspec.field(default=None, name="warning_s")
    tasks: list[TaskReport] | None = msgspec.field(default=None, name="plays")


class Command(msgspec.Struct, omit_defaults=True):
    """A command to a worker about one attempt of a task."""

    action: str = msgspec.field(name="verb")
    task_id: str = msgspec.field(name="play")
    attempt: int = msgspec.field(name="try")
    grace_period_s: float | None = msgspec.field(default=None, name="wind_down_s")


class CommandBatch(msgspec.Struct, omit_defaults=True):
    """Commands under a fencing token; only commands that are sent outside heartbeat answers have a `session`."""

    fencing_token: int = msgspec.field(name="baton")
    commands: list[Command] = msgspec.field(name="orders")
    session: int | None = msgspec.field(default=None, name="shift")


class Redirection(msgspec.Struct):
    """The body of a 421 answer, which names the controller that owns the partition."""

    owner: str = msgspec.field(name="boss")


heartbeat_decoder = msgspec.json.Decoder(Heartbeat)
command_batch_decoder = msgspec.json.Decoder(CommandBatch)


def parse_task_id(task_id: str) -> tuple[str, int] | None:
    """Split a task id such as `req-000412/3` into job id and index, or return None if it has another form."""
    job, _, index = task_id.rpartition("/")
    if not job or not index.isdecimal() or len(index) > MAX_TASK_INDEX_DIGITS:
        return None
    return job, int(index)
