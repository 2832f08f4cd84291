"""The lease of this node in the state store, to which its registration and its ownership records are attached."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from tealhook.context import NodeContext
from tealhook.coordination.ownership_keys import node_key
from tealhook.state_store import CallPriority, ReadOutcome, ReadResult, StateClient
from tealhook.state_store.results import RenewalOutcome

log = logging.getLogger(__name__)


# Other nodes must take over from a failed one well before the leases of its workers expire.
NODE_LEASES_PER_WORKER_LEASE = 3
RENEWALS_PER_LEASE = 3
RENEWAL_RETRIES_PER_LEASE = 12  # rate of renewals after one that was not answered


def node_lease_ttl_s(context: NodeContext) -> float:
    """Return the time to live of a node's lease in seconds."""
    return context.workers.lease_s / NODE_LEASES_PER_WORKER_LEASE


class NodeLease:
    """The lease under which this node registers and owns keys; it is replaced by a new one whenever it expires."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """Initialize without a lease; no request is sent before `revoke_predecessor` and `acquire`."""
        self._effects = context.effects
        self._store = store
        self._node_key = node_key(context.node)
        self._ttl_s = node_lease_ttl_s(context)
        self.lease_id: int | None = None  # None before the first grant and after an expiry

    def revoke_predecessor(self, done: Callable[[], None]) -> None:
        """Revoke the lease of the previous process of this node, then call `done`.

        The registration and the ownership records of that process are deleted with its lease.
        """
        self._store.get(self._node_key, partial(self._on_registration, done), CallPriority.RENEW)

    def _on_registration(self, done: Callable[[], None], result: ReadResult) -> None:
        if result.outcome is ReadOutcome.UNKNOWN:
            self._effects.later(0.1 + 0.2 * self._effects.rng.random(), partial(self.revoke_predecessor, done))
            return
        if result.item is None or result.item.lease_id is None:
            done()
            return

        def on_revoked(is_certain: bool) -> None:
            if is_certain:
                done()
            else:
                self.revoke_predecessor(done)

        # At most one process runs under a node's name, so the registered one has ended and its lease can be revoked.
        self._store.revoke_lease(result.item.lease_id, on_revoked)

    def acquire(self, on_acquired: Callable[[], None]) -> None:
        """Acquire a lease and keep renewing it; call `on_acquired` for this lease and for each one that replaces it."""

        def on_granted(lease_id: int | None) -> None:
            if lease_id is None:
                self._effects.later(0.1 + 0.3 * self._effects.rng.random(), partial(self.acquire, on_acquired))
                return
            self.lease_id = lease_id
            on_acquired()
            self._effects.later(self._ttl_s / RENEWALS_PER_LEASE, partial(self._renew, lease_id, on_acquired))

        self._store.grant_lease(self._ttl_s, on_granted)

    def _renew(self, lease_id: int, on_acquired: Callable[[], None]) -> None:
        def on_renewal(outcome: RenewalOutcome) -> None:
            if outcome is RenewalOutcome.EXPIRED:
                log.info("node lease %s expired; acquiring a new one", lease_id)
                self.lease_id = None
                self.acquire(on_acquired)
                return
            is_renewed = outcome is RenewalOutcome.RENEWED
            delay_s = self._ttl_s / (RENEWALS_PER_LEASE if is_renewed else RENEWAL_RETRIES_PER_LEASE)
            self._effects.later(delay_s, partial(self._renew, lease_id, on_acquired))

        self._store.renew_lease(lease_id, self._ttl_s / RENEWALS_PER_LEASE, on_renewal)
