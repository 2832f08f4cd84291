"""What is known of a request to the state store after its answer, or for want of one."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tealhook.wire.state import KeyValue, WatchReply


class TransactionOutcome(enum.Enum):
    """Result of a transaction."""

    COMMITTED = "committed"  # executed
    CONFLICTED = "conflicted"  # not executed: the condition on some key failed
    REFUSED = "refused"  # certainly not executed; the same may pass later
    REJECTED = "rejected"  # certainly not executed, and never will be as it is
    UNKNOWN = "unknown"  # may have been executed, or may yet be: read the keys, never guess


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Answer to a transaction: all of its operations were executed, or none."""

    outcome: TransactionOutcome
    revision: int = 0  # of the transaction, if it was committed
    failed_keys: list[str] = field(default_factory=list)  # whose conditions failed, if it conflicted


class ReadOutcome(enum.StrEnum):
    """Result of reading one key."""

    FOUND = "ok"
    ABSENT = "absent"  # certainly no such key
    UNKNOWN = "unknown"  # no usable answer: the key may exist


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Answer to reading one key; `item` is set exactly when the key was found."""

    outcome: ReadOutcome
    item: KeyValue | None = None


class WatchOutcome(enum.Enum):
    """Result of waiting for changes."""

    CHANGES = "changes"  # a complete answer, which may hold no change
    COMPACTED = "compacted"  # the revision asked from is no longer stored: list the keys anew
    UNKNOWN = "unknown"  # no usable answer


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Answer to a watch; `reply` is set exactly when the outcome is CHANGES."""

    outcome: WatchOutcome
    reply: WatchReply | None = None


class RenewalOutcome(enum.Enum):
    """Result of renewing a lease."""

    RENEWED = "renewed"
    EXPIRED = "expired"  # the store knows no such lease: its keys are deleted
    UNKNOWN = "unknown"  # no usable answer: the lease may have been renewed, or not
