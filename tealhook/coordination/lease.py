"""This node's lease in the state store: while it lives, so do the node's registration and ownership records."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from tealhook.context import NodeContext
from tealhook.coordination.ownership_keys import node_key
from tealhook.state_store import CallPriority, ReadOutcome, ReadResult, StateClient
from tealhook.state_store.results import RenewalOutcome

log = logging.getLogger(__name__)


LEASES_PER_WORKER_LEASE = 3  # so that other nodes take over well before the leases of workers expire
RENEWALS_PER_LEASE = 3
RENEWAL_RETRIES_PER_LEASE = 12  # after a renewal without an answer


def node_lease_ttl_s(context: NodeContext) -> float:
    """Time to live of a node's lease."""
    return context.workers.lease_s / LEASES_PER_WORKER_LEASE


class NodeLease:
    """Revokes the lease of the former process of this name, then acquires one, and a new one whenever it expires."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """No request is sent before `revoke_former` and `acquire`."""
        self._effects = context.effects
        self._store = store
        self._node_key = node_key(context.node)
        self._ttl_s = node_lease_ttl_s(context)
        self.lease_id: int | None = None  # None: there is none, or it has expired

    def revoke_former(self, done: Callable[[], None]) -> None:
        """End what an earlier process of this node's name owns, then call `done`."""
        self._store.get(self._node_key, partial(self._on_registration, done), CallPriority.RENEW)

    def _on_registration(self, done: Callable[[], None], result: ReadResult) -> None:
        if result.outcome is ReadOutcome.UNKNOWN:
            self._effects.later(0.1 + 0.2 * self._effects.rng.random(), partial(self.revoke_former, done))
            return
        if result.item is None or result.item.lease_id is None:
            done()
            return

        def revoked(is_certain: bool) -> None:
            if is_certain:
                done()
            else:
                self.revoke_former(done)

        # Only one process runs under a name, so the lease of the former one can be revoked at once.
        self._store.revoke_lease(result.item.lease_id, revoked)

    def acquire(self, on_acquired: Callable[[], None]) -> None:
        """Acquire a lease and renew it; `on_acquired` is called for this one and for each that replaces it."""

        def granted(lease_id: int | None) -> None:
            if lease_id is None:
                self._effects.later(0.1 + 0.3 * self._effects.rng.random(), partial(self.acquire, on_acquired))
                return
            self.lease_id = lease_id
            on_acquired()
            self._effects.later(self._ttl_s / RENEWALS_PER_LEASE, partial(self._renew, lease_id, on_acquired))

        self._store.grant_lease(self._ttl_s, granted)

    def _renew(self, lease_id: int, on_acquired: Callable[[], None]) -> None:
        def renewed(outcome: RenewalOutcome) -> None:
            if outcome is RenewalOutcome.EXPIRED:
                log.info("lease %s expired", lease_id)
                self.lease_id = None
                self.acquire(on_acquired)
                return
            is_renewed = outcome is RenewalOutcome.RENEWED
            pause_s = self._ttl_s / (RENEWALS_PER_LEASE if is_renewed else RENEWAL_RETRIES_PER_LEASE)
            self._effects.later(pause_s, partial(self._renew, lease_id, on_acquired))

        self._store.renew_lease(lease_id, self._ttl_s / RENEWALS_PER_LEASE, renewed)
