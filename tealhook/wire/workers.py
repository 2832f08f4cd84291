"""Workers <-> controllers: reports, commands and the answers to both."""

from __future__ import annotations

import msgspec

LAUNCH, KILL, CLEAR = "launch", "kill", "clear"
REPORT_PATH = "/v1/report"
EXITED = "exited"
ALIVE = ("pulling", "running", "flushing")
ANSWER_S = 4.0  # a worker drops answers to a report that come later
UNANSWERED_S = ANSWER_S + 1.0 + 0.5  # then it tries the next node 1 s later, and is sent on within 0.5 s


class Play(msgspec.Struct, omit_defaults=True):
    """One task on a machine as its worker reports it."""

    play: str
    attempt: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    saved: bool | None = None


class Report(msgspec.Struct):
    """A worker's report."""

    box: str
    addr: str
    rig: str
    yard: str
    shift: int
    tick: int
    baton: int = 0
    loaners: bool = False
    warning_s: float | None = None
    plays: list[Play] | None = None


class Order(msgspec.Struct, omit_defaults=True):
    """A command to a worker."""

    verb: str
    play: str
    attempt: int = msgspec.field(name="try")
    wind_down_s: float | None = None


class Orders(msgspec.Struct, omit_defaults=True):
    """Commands under a fencing token; `shift` only on direct commands."""

    baton: int
    orders: list[Order]
    shift: int | None = None


report_decoder = msgspec.json.Decoder(Report)
orders_decoder = msgspec.json.Decoder(Orders)


def split_play(play: str) -> tuple[str, int] | None:
    """`req-000412/3` -> (`req-000412`, 3); None when it has another form."""
    job, _, index = play.rpartition("/")
    if not job or not index.isdecimal() or len(index) > 6:
        return None
    return job, int(index)
