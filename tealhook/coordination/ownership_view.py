"""A watched view of the ownership records: the owner of each key, and the live nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination.lease import node_lease_ttl_s
from tealhook.coordination.ownership_keys import (
    FLEET_KEY,
    NODE_PREFIX,
    OWNERSHIP_PREFIX,
    PARTITION_PREFIX,
    TEAM_PREFIX,
    node_key,
    partition_key,
    team_key,
)
from tealhook.coordination.stability import MembershipStability
from tealhook.state_store import SnapshotWatcher, StateClient
from tealhook.wire.state import KeyValue, WatchEvent

WATCHES_PER_WORKER_LEASE = 12  # a watch is held open for the lease of workers divided by this


@dataclass(frozen=True, slots=True)
class OwnershipRecord:
    """The owner of a key, or the registration of a node.

    The fencing token is the revision of the record, so each new claim of a key has a higher one.
    """

    node: str
    token: int
    incarnation: str = ""
    zone: str = ""

    @classmethod
    def parse(cls, value: Any, revision: int) -> OwnershipRecord:
        """Parse a stored value; the record of a malformed one names no node."""
        fields = value if isinstance(value, dict) else {}
        return cls(
            node=str(fields.get("n", "")),
            token=revision,
            incarnation=str(fields.get("b", "")),
            zone=str(fields.get("z", "")),
        )


def encode_record(node: str, incarnation: str, zone: str) -> dict[str, str]:
    """Return the value to store for an ownership record or a registration."""
    return {"n": node, "b": incarnation, "z": zone}


class OwnershipView:
    """Ownership records as last read from the state store or reported by peers."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """Initialize an empty view; nothing is read before `start`."""
        self._effects = context.effects
        self._node = context.node
        self._incarnation = f"{context.incarnation:x}"
        self._records: dict[str, OwnershipRecord] = {}
        self._unowned_since: dict[str, float] = {}  # key -> time since which no node owns it
        self._expected_keys: set[str] = {FLEET_KEY}  # keys that should have an owner
        self._expected_keys.update(team_key(name) for name in context.settings.team_names)
        self._expected_keys.update(partition_key(zone) for zone in context.settings.params.zones)
        self._stability = MembershipStability(node_lease_ttl_s(context), context.effects.now())
        self._on_change: Callable[[], None] | None = None
        self.watcher = SnapshotWatcher(
            context.effects,
            store,
            OWNERSHIP_PREFIX,
            context.workers.lease_s / WATCHES_PER_WORKER_LEASE,
            self._replace_records,
            self._apply_events,
        )

    def start(self, on_change: Callable[[], None]) -> None:
        """Read the records and follow their changes; call `on_change` after each change."""
        self._on_change = on_change
        self.watcher.start()

    # -- lookups

    def owner(self, key: str) -> str | None:
        """Return the last known owner of a key, or None if no node owns it."""
        record = self._records.get(key)
        return record.node if record is not None else None

    def token(self, key: str) -> int | None:
        """Return the last known fencing token of a key, whichever node owns it."""
        record = self._records.get(key)
        return record.token if record is not None else None

    def has_record(self, key: str) -> bool:
        """Check whether a key has a record, which may be malformed."""
        return key in self._records

    def live_nodes(self) -> dict[str, str]:
        """Return the registered nodes with their zones."""
        prefix = len(NODE_PREFIX)
        return {key[prefix:]: record.zone for key, record in self._records.items() if key.startswith(NODE_PREFIX)}

    def incarnation_of(self, node: str) -> int | None:
        """Return the incarnation of the process that is registered for a node, or None if none is known."""
        record = self._records.get(node_key(node))
        try:
            return int(record.incarnation, 16) if record is not None else None
        except ValueError:
            return None

    @property
    def is_registered(self) -> bool:
        """True if this process, and not an earlier one, is registered for its node."""
        record = self._records.get(node_key(self._node))
        return record is not None and record.incarnation == self._incarnation

    def tokens_of_this_process(self) -> dict[str, int]:
        """Return the keys that this process, and not an earlier one, owns with their fencing tokens."""
        return {
            key: record.token
            for key, record in self._records.items()
            if record.node == self._node and record.incarnation == self._incarnation and not key.startswith(NODE_PREFIX)
        }

    def partition_owners(self) -> list[str]:
        """Return the owner of each partition that has one."""
        return [record.node for key, record in self._records.items() if key.startswith(PARTITION_PREFIX)]

    def team_owners(self) -> list[str]:
        """Return the owner of each team that has one."""
        return [record.node for key, record in self._records.items() if key.startswith(TEAM_PREFIX)]

    def keys(self) -> set[str]:
        """Return all keys that have, or should have, an owner."""
        return self._expected_keys | {key for key in self._records if not key.startswith(NODE_PREFIX)}

    def zones(self) -> list[str]:
        """Return all zones whose partition has, or should have, an owner."""
        keys = self._expected_keys | self._records.keys()
        return sorted(key[len(PARTITION_PREFIX) :] for key in keys if key.startswith(PARTITION_PREFIX))

    def unowned_s(self, key: str, now: float) -> float:
        """Return the seconds for which a key has had no owner."""
        return now - self._unowned_since.get(key, now)

    def is_stable(self, now: float) -> bool:
        """Check whether the set of live nodes has not changed for so long that keys may change owners for balance."""
        return self._stability.is_stable(now)

    # -- changes

    def add_key(self, key: str) -> None:
        """Add a key that should have an owner."""
        self._expected_keys.add(key)

    def merge_peer_tokens(self, node: str, tokens: dict[str, int]) -> None:
        """Make a peer the owner of the keys that it reports with a higher fencing token than the known one.

        Keys without a known record are left to the watch.
        """
        has_changed = False
        for key, token in tokens.items():
            known = self._records.get(key)
            if known is not None and known.token < token:
                self._records[key] = OwnershipRecord(node, token)
                has_changed = True
        if has_changed:
            self._on_records_changed()

    def record_claims(self, keys: Iterable[str], claim: OwnershipRecord) -> None:
        """Record a committed claim of this node, except for keys of which the watch has shown a newer record."""
        for key in keys:
            known = self._records.get(key)
            if known is None or known.token < claim.token:
                self._records[key] = claim
        self._on_records_changed()

    def _replace_records(self, items: list[KeyValue]) -> None:
        self._records = {item.key: OwnershipRecord.parse(item.value, item.mod_revision) for item in items}
        self._on_records_changed()

    def _apply_events(self, events: list[WatchEvent]) -> None:
        before = self.live_nodes()
        for event in events:
            key = event.key
            known = self._records.get(key)
            if known is not None and event.mod_revision < known.token:
                continue  # a claim of this node or a report of a peer is newer
            if event.put_key:
                self._records[key] = OwnershipRecord.parse(event.value, event.mod_revision)
            else:
                self._records.pop(key, None)
        self._stability.record_change(before, self.live_nodes(), self._effects.now())
        self._on_records_changed()

    def _on_records_changed(self) -> None:
        if self._on_change is not None:
            self._on_change()
        self._track_unowned_keys()

    def _track_unowned_keys(self) -> None:
        now = self._effects.now()
        for key in self._expected_keys | set(self._records):
            if key in self._records:
                self._unowned_since.pop(key, None)
            else:
                self._unowned_since.setdefault(key, now)
