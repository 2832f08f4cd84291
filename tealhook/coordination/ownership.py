"""Ownership of partitions, teams and the fleet: one lease a node, and ownership keys claimed under it.

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

REVIEWS_PER_LEASE = 6  # of what to claim and what to hand over
SUSPENSION_LEASES = 0.5  # without a review for so long, this process was suspended


class Ownership:
    """What other components ask about ownership, and the timer that keeps this node's part of it up to date."""

    def __init__(
        self, context: NodeContext, store: StateClient, view: OwnershipView, reachability: Reachability
    ) -> None:
        """Nothing is read or claimed before `start`."""
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
        """End what an earlier process of this node's name owns, then register and claim keys; `observer` is told."""
        claimer = KeyClaimer(
            self._context, self._store, self._view, self._lease, self._owned, self._reachability, heartbeats
        )
        self._lease.revoke_former(partial(self._begin, observer, partial(self._review, claimer)))

    def _begin(self, observer: OwnershipObserver, review: Callable[[], None]) -> None:
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

    # -- own keys

    def own_token(self, key: str) -> int | None:
        """This node's fencing token for a key that it owns."""
        return self._owned.token(key)

    def own_tokens(self) -> dict[str, int]:
        """This node's keys and fencing tokens, as sent to the other controllers."""
        return self._owned.tokens()

    @property
    def is_lease_uncertain(self) -> bool:
        """Whether this process was suspended so long that its lease may have expired and others may own its keys.

        After a suspension overdue timers may run before the sockets are read. This guards against decisions on
        ownership that has ended: nothing is rented, returned or started until a view requested since has arrived.
        An outage of the state store does not count: nobody can take anything over then.
        """
        return self._view.watcher.viewed_at < self._suspension.last_detected_at(self._effects.now())

    # -- everybody's keys

    def owner(self, key: str) -> str | None:
        """The node that owns a key as far as known."""
        return self._view.owner(key)

    def token(self, key: str) -> int | None:
        """The owner's fencing token as far as known, whoever the owner is."""
        return self._view.token(key)

    def zones(self) -> list[str]:
        """Every zone that has, or should have, a partition."""
        return self._view.zones()

    def is_reachable(self, node: str) -> bool:
        """Whether a node can be reached from this one, as far as known."""
        return self._reachability.is_reachable(node)

    def add_key(self, key: str) -> None:
        """Add a key that some node should own."""
        self._view.add_key(key)

    def merge_peer_tokens(self, node: str, tokens: dict[str, int]) -> None:
        """Learn the keys of a peer. A token above ours ends our ownership, even while the state store can't be read.

        Without this, an owner behind a network partition from the state store alone would keep its workers by answering
        them, and the new owner would take their machines for lost.
        """
        self._view.merge_peer_tokens(node, tokens)
