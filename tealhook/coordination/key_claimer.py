"""Claims of unowned keys under this node's lease, and releases of owned keys to other nodes.

To balance the load, keys change owners one at a time, and only while the set of live nodes is stable. No decision here
declares a node dead: only the expiry of its lease in the state store does.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Protocol

from tealhook.context import NodeContext
from tealhook.coordination.balancing import plan_owners
from tealhook.coordination.lease import NodeLease, node_lease_ttl_s
from tealhook.coordination.owned_keys import OwnedKeys
from tealhook.coordination.ownership_keys import FLEET_KEY, PARTITION_PREFIX, TEAM_PREFIX, node_key
from tealhook.coordination.ownership_view import OwnershipRecord, OwnershipView, encode_record
from tealhook.loop.effects import LONG_AGO_S
from tealhook.state_store import CallPriority, StateClient, TransactionOutcome, TransactionResult
from tealhook.wire import state as wire

log = logging.getLogger(__name__)

# Times in leases are multiples of the time to live of a node's lease.
MAX_CLAIMS_PER_TRANSACTION = 8
CLAIM_RETRIES_PER_LEASE = 12  # rate of claims after the state store rejected one
TEAM_RELEASE_DELAY_LEASES = 0.5  # time without any reachable owner of a partition before teams are released
MIN_HANDOVER_INTERVAL_LEASES = 0.5
RELEASE_COOLDOWN_LEASES = 12  # time before this node may reclaim a key that it released for its silent workers


class Reachability(Protocol):
    """Source of the reachability of other nodes from this one."""

    def is_reachable(self, node: str) -> bool:
        """Check whether a message of the node arrived recently; this node itself is always reachable."""
        ...


class ZoneHeartbeats(Protocol):
    """Source of the zones whose workers are silent, that is, whose heartbeats do not arrive at this node."""

    def is_silent(self, zone: str | None) -> bool:
        """Check whether no worker of a zone, or of any zone if it is None, sends heartbeats to this node."""
        ...


class KeyClaimer:
    """The component that decides which keys to claim and to release, and writes these changes to the state store."""

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
        """Initialize without any request; nothing is written before the first `review`."""
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
        self._node_lease_ttl_s = node_lease_ttl_s(context)
        self._is_claiming = False
        self._max_claims = MAX_CLAIMS_PER_TRANSACTION  # lowered by rejected claims, raised by committed ones
        self._claim_not_before = LONG_AGO_S  # time of the next attempt after a rejected claim
        self._last_handover_at = LONG_AGO_S
        self._cooldown_until: dict[str, float] = {}  # key released for its silent workers -> earliest next claim
        self._unreachable_since: float | None = None  # start of the time in which no owner of a partition is reachable

    def review(self) -> None:
        """Claim keys that have no owner; if there are none, release one key where that is due."""
        now = self._effects.now()
        if (
            self._lease.lease_id is None
            or self._is_claiming
            or not self._view.watcher.is_synced
            or now < self._claim_not_before
        ):
            return
        if not self._view.is_registered:
            # The registration of the previous process of this node must be deleted first.
            if not self._view.has_record(self._node_key):
                self._claim([self._node_key])
            return
        live = self._view.live_nodes()
        plan = plan_owners(self._view.keys(), live)
        all_partitions_unreachable = self._all_partitions_unreachable(now)
        if not self._is_isolated(live):
            # Reachable peers hand keys over for balance again, and rely on the planned owner to claim them.
            self._cooldown_until.clear()
        keys = [key for key, owner in plan.items() if self._should_claim(key, owner, all_partitions_unreachable, now)]
        if keys:
            self._claim(keys[: max(1, min(self._store.max_operations - 1, self._max_claims))])
        else:
            self._hand_over(plan, all_partitions_unreachable, now)

    # -- claims

    def _should_claim(self, key: str, planned_owner: str, all_partitions_unreachable: bool, now: float) -> bool:
        if self._view.has_record(key):
            return False
        if all_partitions_unreachable and key.startswith(TEAM_PREFIX) or self._cooldown_until.get(key, now) > now:
            return False
        # A key that is planned for another node is claimed only after that node left it unowned for a whole lease.
        return planned_owner == self._node or self._view.unowned_s(key, now) > self._node_lease_ttl_s

    def _claim(self, keys: list[str]) -> None:
        """Claim keys by compare-and-swap, on condition that they are unowned and this process is still registered."""
        self._is_claiming = True
        value = encode_record(self._node, self._incarnation, self._zone)
        conditions = dict.fromkeys(keys, 0)
        registration = self._view.token(self._node_key)
        if self._node_key not in conditions and registration is not None:
            conditions[self._node_key] = registration

        def on_result(result: TransactionResult) -> None:
            self._is_claiming = False
            if result.outcome is TransactionOutcome.COMMITTED:
                self._max_claims = min(MAX_CLAIMS_PER_TRANSACTION, 2 * self._max_claims)
                self._view.record_claims(keys, OwnershipRecord.parse(value, result.revision))
            elif result.outcome is TransactionOutcome.REJECTED:
                self._max_claims = max(1, len(keys) // 2)
                self._claim_not_before = self._effects.now() + self._node_lease_ttl_s / CLAIM_RETRIES_PER_LEASE
            elif result.outcome is TransactionOutcome.CONFLICTED:
                remaining = [key for key in keys if key not in result.failed_keys]
                if remaining and len(remaining) < len(keys):
                    self._claim(remaining)
            # After any other outcome the watch shows whether the claim was committed.

        puts = [wire.put(key, value, self._lease.lease_id) for key in keys]
        self._store.transact(conditions, puts, CallPriority.RENEW, on_result)

    # -- failover on network partitions

    def _all_partitions_unreachable(self, now: float) -> bool:
        """Check whether no owner of a partition has been reachable for a while.

        The scheduler of a team could then place nothing, so this node releases its teams, and a node that reaches a
        partition claims them. No node is declared dead by this.
        """
        owners = self._view.partition_owners()
        if not owners or any(self._reachability.is_reachable(node) for node in owners):
            self._unreachable_since = None
            return False
        if self._unreachable_since is None:
            self._unreachable_since = now
        return now - self._unreachable_since > self._node_lease_ttl_s * TEAM_RELEASE_DELAY_LEASES

    def _is_cut_off_from_workers(self, key: str, live: Mapping[str, str]) -> bool:
        """Check whether a key's workers are silent here and no peer is reachable that would relay their heartbeats.

        Such a key must be released: as long as the state store serves this node, its lease does not expire, and no
        other node could take the key over. While a peer is reachable the key is kept: workers that no node hears are
        behind a network partition themselves, and a new owner would be as cut off from them.
        """
        if not self._is_isolated(live):
            return False
        if key.startswith(PARTITION_PREFIX):
            return self._heartbeats.is_silent(key[len(PARTITION_PREFIX) :])
        return key == FLEET_KEY and self._heartbeats.is_silent(None)

    def _is_isolated(self, live: Mapping[str, str]) -> bool:
        """Check whether other nodes are registered and none of them is reachable from this one."""
        peers = [node for node in live if node != self._node]
        return bool(peers) and not any(self._reachability.is_reachable(node) for node in peers)

    # -- handover

    def _hand_over(self, plan: Mapping[str, str], all_partitions_unreachable: bool, now: float) -> None:
        """Release at most one key, if the set of live nodes is stable and the last handover is long enough ago."""
        if (
            not self._view.is_stable(now)
            or now - self._last_handover_at < self._node_lease_ttl_s * MIN_HANDOVER_INTERVAL_LEASES
        ):
            return
        live = self._view.live_nodes()
        for key, token in self._owned.tokens().items():
            must_release = all_partitions_unreachable and key.startswith(TEAM_PREFIX)
            if self._is_cut_off_from_workers(key, live):
                must_release = True
                self._cooldown_until[key] = now + RELEASE_COOLDOWN_LEASES * self._node_lease_ttl_s
            planned_owner = plan.get(key, self._node)
            if must_release:
                log.info("releasing ownership of %s: the partitions or workers that it needs are unreachable", key)
            elif planned_owner != self._node and self._reachability.is_reachable(planned_owner):
                log.info("handing ownership of %s over to %s", key, planned_owner)
            else:
                continue
            self._last_handover_at = now
            self._release(key, token)
            return

    def _release(self, key: str, token: int) -> None:
        # The lowest priority would be too low: on a node that has taken over all keys, writes of assignments use up the
        # rate limit, and no key would ever be handed over.
        self._store.transact({key: token}, [wire.delete(key)], CallPriority.ADMIT, _ignore_result)


def _ignore_result(_result: TransactionResult) -> None:
    """Ignore the result: the watch shows whether the key was released, and if not, the next review tries again."""
