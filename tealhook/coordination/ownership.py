"""Ownership of partitions, teams and the fleet, by keys that each node claims under its single lease.

The revision of an ownership key at its claim is the owner's fencing token.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from tealhook.context import NodeContext
from tealhook.coordination.key_claimer import KeyClaimer, Reachability, ZoneHeartbeats
from tealhook.coordination.lease import NodeLease, node_lease_ttl_s
from tealhook.coordination.owned_keys import OwnedKeys, OwnershipObserver
from tealhook.coordination.ownership_view import OwnershipView
from tealhook.coordination.suspension import SuspensionDetector
from tealhook.loop.effects import every
from tealhook.state_store import StateClient

REVIEWS_PER_LEASE = 6  # rate of the reviews of keys to claim or to release, per node lease
SUSPENSION_LEASES = 0.5  # time without a review, in node leases, that shows a suspension of this process


class Ownership:
    """The component that answers questions about ownership and that keeps this node's own keys up to date."""

    def __init__(
        self, context: NodeContext, store: StateClient, view: OwnershipView, reachability: Reachability
    ) -> None:
        """Initialize without any request; nothing is read or claimed before `start`."""
        self._context = context
        self._effects = context.effects
        self._store = store
        self._view = view
        self._reachability = reachability
        self.node = context.node
        self.node_lease_ttl_s = node_lease_ttl_s(context)
        self._lease = NodeLease(context, store)
        self._owned = OwnedKeys()
        self._suspension = SuspensionDetector(self.node_lease_ttl_s * SUSPENSION_LEASES, context.effects.now())

    def start(self, observer: OwnershipObserver, heartbeats: ZoneHeartbeats) -> None:
        """Revoke the lease of the previous process of this node, then register and claim keys.

        Each change of the keys that this node owns is reported to `observer`.
        """
        claimer = KeyClaimer(
            self._context, self._store, self._view, self._lease, self._owned, self._reachability, heartbeats
        )
        self._lease.revoke_predecessor(partial(self._on_predecessor_revoked, observer, partial(self._review, claimer)))

    def _on_predecessor_revoked(self, observer: OwnershipObserver, review: Callable[[], None]) -> None:
        self._view.start(partial(self._on_view_change, observer, review))
        self._lease.acquire(review)
        every(self._effects, self.node_lease_ttl_s / REVIEWS_PER_LEASE, review)

    def _review(self, claimer: KeyClaimer) -> None:
        if self.is_lease_uncertain:
            return
        self._suspension.record_run(self._effects.now())
        claimer.review()

    def _on_view_change(self, observer: OwnershipObserver, review: Callable[[], None]) -> None:
        self._owned.update(self._view.tokens_of_this_process(), observer)
        team_owners = self._view.team_owners()
        owned_team_share = team_owners.count(self.node) / len(team_owners) if team_owners else None
        self._store.set_share(max(1, len(self._view.live_nodes())), owned_team_share)
        self._effects.later(0.0, review)

    # -- keys of this node

    def own_token(self, key: str) -> int | None:
        """Return this node's fencing token for a key, or None if this node does not own the key."""
        return self._owned.token(key)

    def own_tokens(self) -> dict[str, int]:
        """Return the keys that this node owns with their fencing tokens, as sent to the other controllers."""
        return self._owned.tokens()

    @property
    def is_lease_uncertain(self) -> bool:
        """True if this process was suspended so long that its lease may have expired and others may own its keys.

        After a suspension overdue timers may run before the sockets are read. This guards against decisions based on
        ownership that has ended: no machine is rented or released and no task is started until a view that was
        requested after the suspension has arrived. An outage of the state store does not count: no other node can take
        a key over during it.
        """
        return self._view.watcher.viewed_at < self._suspension.last_detected_at(self._effects.now())

    # -- keys of all nodes

    def owner(self, key: str) -> str | None:
        """Return the last known owner of a key, or None if no node owns it."""
        return self._view.owner(key)

    def token(self, key: str) -> int | None:
        """Return the last known fencing token of a key, whichever node owns it."""
        return self._view.token(key)

    def zones(self) -> list[str]:
        """Return all zones whose partition has, or should have, an owner."""
        return self._view.zones()

    def is_reachable(self, node: str) -> bool:
        """Check whether a message of a node arrived recently."""
        return self._reachability.is_reachable(node)

    def add_key(self, key: str) -> None:
        """Add a key that some node should own."""
        self._view.add_key(key)

    def merge_peer_tokens(self, node: str, tokens: dict[str, int]) -> None:
        """Merge the keys and fencing tokens that a peer reports into the view.

        A token above that of this node ends its ownership of the key, even while the state store cannot be read.
        Otherwise an owner that a network partition cuts off from the state store alone would go on answering its
        workers, and the new owner, which they do not contact, would consider their machines lost.
        """
        self._view.merge_peer_tokens(node, tokens)
