"""Results of requests to the state store, including requests without a usable answer."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tealhook.wire.state import KeyValue, WatchReply


class TransactionOutcome(enum.Enum):
    """Result of a transaction."""

    COMMITTED = "committed"  # executed
    CONFLICTED = "conflicted"  # not executed: the condition on some key failed
    REFUSED = "refused"  # not executed; the same transaction may succeed later
    REJECTED = "rejected"  # not executed; the same transaction can never succeed
    UNKNOWN = "unknown"  # may have been executed or may still be: only reading the keys can tell


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a transaction, of which either all operations are executed or none."""

    outcome: TransactionOutcome
    revision: int = 0  # the revision that the transaction created, if it was committed
    failed_keys: list[str] = field(default_factory=list)  # the keys whose conditions failed, if it conflicted


class ReadOutcome(enum.StrEnum):
    """Result of reading one key."""

    FOUND = "ok"
    ABSENT = "absent"  # the key does not exist
    UNKNOWN = "unknown"  # no usable answer: the key may or may not exist


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of reading one key; `item` is set if and only if the key was found."""

    outcome: ReadOutcome
    item: KeyValue | None = None


class WatchOutcome(enum.Enum):
    """Result of waiting for changes."""

    CHANGES = "changes"  # a complete answer, which may contain no changes
    COMPACTED = "compacted"  # changes since the requested revision are no longer stored: the keys must be listed again
    UNKNOWN = "unknown"  # no usable answer


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Result of a watch; `reply` is set if and only if the outcome is CHANGES."""

    outcome: WatchOutcome
    reply: WatchReply | None = None


class RenewalOutcome(enum.Enum):
    """Result of renewing a lease."""

    RENEWED = "renewed"
    EXPIRED = "expired"  # the lease does not exist: its keys are deleted
    UNKNOWN = "unknown"  # no usable answer: the lease may or may not have been renewed
