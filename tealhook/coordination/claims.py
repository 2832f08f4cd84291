"""Claims ownership keys without an owner under this node's lease, and hands own keys over to others.

Ownership changes for balance one key at a time, and only while the set of live nodes is stable. Nothing here declares a
node dead: only the expiry of its lease in the state store does.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Protocol

from tealhook.context import NodeContext
from tealhook.coordination.balancing import plan_owners
from tealhook.coordination.lease import NodeLease, lease_ttl_s
from tealhook.coordination.owned_keys import OwnedKeys
from tealhook.coordination.ownership_keys import FLEET_KEY, PARTITION_PREFIX, TEAM_PREFIX, node_key
from tealhook.coordination.ownership_view import OwnershipRecord, OwnershipView, stored_value
from tealhook.loop.effects import LONG_AGO_S
from tealhook.state_store import CallPriority, StateClient, TransactionOutcome, TransactionResult
from tealhook.wire import state as wire

log = logging.getLogger(__name__)

MAX_CLAIMS = 8  # in one transaction
CLAIM_RETRIES_PER_LEASE = 12  # after the state store rejected a claim
UNREACHABLE_LEASES = 0.5  # how long no owner of a partition is reached before teams are released
HANDOVER_INTERVAL_LEASES = 0.5  # at least so long between two keys handed over
RELEASE_COOLDOWN_LEASES = 12  # how long a key is left to others after it was released because no worker is heard here


class Reachability(Protocol):
    """Which nodes can be reached from this one."""

    def is_reachable(self, node: str) -> bool:
        """Whether a message of the node came lately; this node itself is always reachable."""
        ...


class ZoneHeartbeats(Protocol):
    """Whether heartbeats of workers arrive at this node."""

    def is_unheard(self, zone: str | None) -> bool:
        """Whether none of a zone's workers, or for None of all zones', is heard here."""
        ...


class KeyClaims:
    """Decides which keys to claim and which to release, and writes that to the state store."""

    def __init__(
        self,
        context: NodeContext,
        store: StateClient,
        view: OwnershipView,
        lease: NodeLease,
        owned: OwnedKeys,
        reachability: Reachability,
        heartbeats: ZoneHeartbeats,
    ) -> None:
        """Nothing is written before the first `review`."""
        self._effects = context.effects
        self._store = store
        self._view = view
        self._lease = lease
        self._owned = owned
        self._reachability = reachability
        self._heartbeats = heartbeats
        self._node = context.node
        self._node_key = node_key(context.node)
        self._incarnation = f"{context.incarnation:x}"
        self._zone = context.settings.domain
        self._lease_ttl_s = lease_ttl_s(context)
        self._is_writing = False
        self._max_claims = MAX_CLAIMS  # of one transaction; fewer after one was rejected
        self._claim_not_before = LONG_AGO_S  # a rejected claim is not repeated before
        self._handed_over_at = LONG_AGO_S
        self._avoided_until: dict[str, float] = {}  # keys released because no worker is heard, not to be claimed before
        self._unreachable_since: float | None = None  # since when no owner of a partition can be reached

    def review(self) -> None:
        """Claim keys that have no owner; if there are none to claim, hand a key over where that is due."""
        now = self._effects.now()
        if (
            self._lease.lease_id is None
            or self._is_writing
            or not self._view.watcher.is_synced
            or now < self._claim_not_before
        ):
            return
        if not self._view.is_registered:
            # The registration of a former process of this name must be gone first.
            if not self._view.has_record(self._node_key):
                self._claim([self._node_key])
            return
        live = self._view.live_nodes()
        plan = plan_owners(self._view.keys(), live)
        reaches_no_partition = self._reaches_no_partition(now)
        if not self._is_isolated(live):
            self._avoided_until.clear()  # others hand keys back from now on, and expect them to be claimed
        keys = [key for key, owner in plan.items() if self._should_claim(key, owner, reaches_no_partition, now)]
        if keys:
            self._claim(keys[: max(1, min(self._store.max_operations - 1, self._max_claims))])
        else:
            self._hand_over(plan, reaches_no_partition, now)

    # -- claims

    def _should_claim(self, key: str, planned_owner: str, reaches_no_partition: bool, now: float) -> bool:
        if self._view.has_record(key):
            return False
        if reaches_no_partition and key.startswith(TEAM_PREFIX) or self._avoided_until.get(key, now) > now:
            return False
        # A key planned for another node is claimed only if that node has not claimed it for longer than a lease lives.
        return planned_owner == self._node or self._view.absent_s(key, now) > self._lease_ttl_s

    def _claim(self, keys: list[str]) -> None:
        """Compare and swap: claim keys that nobody owns, on the condition that this process is still registered."""
        self._is_writing = True
        value = stored_value(self._node, self._incarnation, self._zone)
        conditions = dict.fromkeys(keys, 0)
        registration = self._view.token(self._node_key)
        if self._node_key not in conditions and registration is not None:
            conditions[self._node_key] = registration

        def done(result: TransactionResult) -> None:
            self._is_writing = False
            if result.outcome is TransactionOutcome.COMMITTED:
                self._max_claims = min(MAX_CLAIMS, 2 * self._max_claims)
                self._view.record_claims(keys, OwnershipRecord.parse(value, result.revision))
            elif result.outcome is TransactionOutcome.REJECTED:
                self._max_claims = max(1, len(keys) // 2)
                self._claim_not_before = self._effects.now() + self._lease_ttl_s / CLAIM_RETRIES_PER_LEASE
            elif result.outcome is TransactionOutcome.CONFLICTED:
                remaining = [key for key in keys if key not in result.failed_keys]
                if remaining and len(remaining) < len(keys):
                    self._claim(remaining)
            # Otherwise the watch shows what became of it.

        puts = [wire.put(key, value, self._lease.lease_id) for key in keys]
        self._store.transact(conditions, puts, CallPriority.RENEW, done)

    # -- failover by network partitions

    def _reaches_no_partition(self, now: float) -> bool:
        """Whether no owner of a partition can be reached for a while, so that a team's scheduler could place nothing.

        This does not declare any node dead: our teams' keys are deleted, and a node that reaches a partition claims
        them.
        """
        owners = self._view.partition_owners()
        if not owners or any(self._reachability.is_reachable(node) for node in owners):
            self._unreachable_since = None
            return False
        if self._unreachable_since is None:
            self._unreachable_since = now
        return now - self._unreachable_since > self._lease_ttl_s * UNREACHABLE_LEASES

    def _is_useless_here(self, key: str, live: Mapping[str, str]) -> bool:
        """Whether an own key should be released: no worker is heard, nor any peer that would relay their heartbeats.

        The state store still serves us, so nobody else would ever take the key over. While a peer is reached, workers
        that are heard nowhere are behind a network partition themselves, and another owner would hear no more of them.
        """
        if not self._is_isolated(live):
            return False
        if key.startswith(PARTITION_PREFIX):
            return self._heartbeats.is_unheard(key[len(PARTITION_PREFIX) :])
        return key == FLEET_KEY and self._heartbeats.is_unheard(None)

    def _is_isolated(self, live: Mapping[str, str]) -> bool:
        """Whether other nodes are registered, and none of them can be reached from here."""
        peers = [node for node in live if node != self._node]
        return bool(peers) and not any(self._reachability.is_reachable(node) for node in peers)

    # -- handing over

    def _hand_over(self, plan: Mapping[str, str], reaches_no_partition: bool, now: float) -> None:
        """Release one key, at most one per half lease and only while the set of live nodes is stable."""
        if not self._view.is_stable(now) or now - self._handed_over_at < self._lease_ttl_s * HANDOVER_INTERVAL_LEASES:
            return
        live = self._view.live_nodes()
        for key, token in self._owned.tokens().items():
            must_release = reaches_no_partition and key.startswith(TEAM_PREFIX)
            if self._is_useless_here(key, live):
                must_release = True
                self._avoided_until[key] = now + RELEASE_COOLDOWN_LEASES * self._lease_ttl_s
            planned_owner = plan.get(key, self._node)
            if must_release:
                log.info("releasing ownership of %s to any node that reaches more", key)
            elif planned_owner != self._node and self._reachability.is_reachable(planned_owner):
                log.info("handing ownership of %s over to %s", key, planned_owner)
            else:
                continue
            self._handed_over_at = now
            self._release(key, token)
            return

    def _release(self, key: str, token: int) -> None:
        # Not at the lowest priority: on a node that has taken over everything, assignments use up the rate limits, so
        # it would never hand anything over.
        self._store.transact({key: token}, [wire.delete(key)], CallPriority.ADMIT, _ignore_result)


def _ignore_result(_result: TransactionResult) -> None:
    """The watch shows what became of it, and the next review tries again."""
