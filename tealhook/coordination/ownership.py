"""Who owns what: one lease a node, and keys claimed under it.

The stamp of an ownership key at its claim is the owner's fencing token. Nothing here decides that a node
is dead: only the end of its lease at the state service does.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from tealhook.context import NodeContext
from tealhook.coordination.balancing import (
    FLEET_KEY,
    NODE_PREFIX,
    OWNERSHIP_PREFIX,
    PARTITION_PREFIX,
    TEAM_PREFIX,
    partition_key,
    share_out,
    team_key,
)
from tealhook.coordination.stability import Stability
from tealhook.loop.effects import every
from tealhook.state_store.client import StateClient
from tealhook.state_store.request_queue import CallPriority
from tealhook.state_store.results import Outcome, ReadOutcome, ReadResult, RenewalOutcome
from tealhook.state_store.watcher import Watcher
from tealhook.wire import state as wire

log = logging.getLogger("tealhook.store")

MOST_CLAIMS = 8  # in one transaction
SET_ASIDE_LEASES = 12  # so long a key is left to others that was given up because no worker is heard


class OwnershipRecord:
    """The value of an ownership key; a malformed one names nobody."""

    __slots__ = ("node", "incarnation", "token", "zone")

    def __init__(self, row_value: Any, revision: int) -> None:
        value = row_value if isinstance(row_value, dict) else {}
        self.node = str(value.get("n", ""))
        self.incarnation = str(value.get("b", ""))
        self.zone = str(value.get("z", ""))
        self.token = revision


class Ownership:
    """This node's lease, its claims, and the view of everybody's."""

    def __init__(self, context: NodeContext, store: StateClient) -> None:
        """Nothing is read or claimed before `start`; `listener` and `reachable` are to be set until then."""
        self._effects = context.effects
        self._store = store
        self.node = context.node
        self._domain = context.settings.domain
        self.lease_ttl_s = context.workers.lease_s / 3
        self._incarnation = f"{context.incarnation:x}"
        self._lease: int | None = None
        self._registered = False
        self._writing = False
        self._max_claims = MOST_CLAIMS  # of one transaction; fewer after one was rejected
        self._claim_not_before = -1e9  # a rejected claim is not repeated before
        self._records: dict[str, OwnershipRecord] = {}
        self._absent_since: dict[str, float] = {}
        self._stability = Stability(self.lease_ttl_s, context.effects.now())
        self._ticked_at = context.effects.now()  # when a frequent timer of ours last ran
        self._stood_still_at = -1e9  # when it was last found that none had run for long
        self._handed_over_at = -1e9
        self._wanted_keys: set[str] = {FLEET_KEY}
        self._wanted_keys.update(team_key(name) for name in context.settings.team_names)
        self._wanted_keys.update(partition_key(zone) for zone in context.settings.params.zones)
        self._own_tokens: dict[str, int] = {}  # what the listener was told that we own
        self.listener: Callable[[str, int | None], Any] = lambda _key, _token: None
        self.is_reachable: Callable[[str], bool] = lambda _node: True
        # Whether none of a zone's workers, or for None of all zones', is heard here.
        self.is_unheard: Callable[[str | None], bool] = lambda _zone: False
        self._shunned_until: dict[str, float] = {}  # keys that we gave up for that, not to be claimed before
        self._stranded_since: float | None = None  # since when no owner of a part can be reached
        self.watcher = Watcher(
            context.effects,
            store,
            OWNERSHIP_PREFIX,
            context.workers.lease_s / 12,
            self._on_rows,
            self._on_events,
        )

    def start(self) -> None:
        """End what an earlier process of this name own_tokens, then register."""
        self._store.get(NODE_PREFIX + self.node, self._end_former_lease, CallPriority.RENEW)

    def add_key(self, key: str) -> None:
        """A key that somebody should own."""
        self._wanted_keys.add(key)

    # -- the view

    def owner(self, key: str) -> str | None:
        """The node that owns a key as far as known."""
        owned = self._records.get(key)
        return owned.node if owned else None

    def token(self, key: str) -> int | None:
        """The owner's fencing token as far as known, whoever the owner is."""
        owned = self._records.get(key)
        return owned.token if owned else None

    def own_token(self, key: str) -> int | None:
        """Our fencing token for a key that we own."""
        return self._own_tokens.get(key)

    def live_nodes(self) -> dict[str, str]:
        """Registered nodes and their zones."""
        return {key[len(NODE_PREFIX) :]: row.zone for key, row in self._records.items() if key.startswith(NODE_PREFIX)}

    def incarnation_of(self, node: str) -> int | None:
        """Which process is registered under a node's name, if one is."""
        row = self._records.get(NODE_PREFIX + node)
        try:
            return int(row.incarnation, 16) if row is not None else None
        except ValueError:
            return None

    def own_tokens(self) -> dict[str, int]:
        """Our keys and tokens, as sent to the other controllers."""
        return dict(self._own_tokens)

    def learn_tokens(self, node: str, holdings: dict[str, int]) -> None:
        """A peer names its keys. A token above ours ends our ownership, even while we can't read the state service.

        Without this, an owner cut off from the state service alone would keep its workers by answering them,
        and the new owner would take their machines for lost.
        """
        changed = False
        for key, token in holdings.items():
            known = self._records.get(key)
            if known is not None and known.token < token:
                known = OwnershipRecord({"n": node}, token)
                self._records[key] = known
                changed = True
        if changed:
            self._after_change()

    def zones(self) -> list[str]:
        """Every zone that has, or should have, a part."""
        keys = self._wanted_keys | self._records.keys()
        return sorted(key[len(PARTITION_PREFIX) :] for key in keys if key.startswith(PARTITION_PREFIX))

    @property
    def lease_uncertain(self) -> bool:
        """Whether this process was suspended so long that its lease may have ended and others may own its keys.

        After a suspension overdue timers may run before the sockets are read. This guards against decisions on
        ownership that has ended: nothing is rented, returned or launched until a view requested since has arrived.
        An outage of the state service does not count: nobody can take anything over then.
        """
        now = self._effects.now()
        if now - self._ticked_at > self.lease_ttl_s / 2:
            self._ticked_at = self._stood_still_at = now
        return self.watcher.viewed_at < self._stood_still_at

    @property
    def is_settled(self) -> bool:
        """Whether we are registered, and the set of live nodes has stayed the same for long enough."""
        return self._registered and self._stability.is_settled(self._effects.now())

    def _on_rows(self, rows: list[wire.KeyValue]) -> None:
        self._records = {row.key: OwnershipRecord(row.value, row.mod_revision) for row in rows}
        self._after_change()

    def _on_events(self, events: list[wire.WatchEvent]) -> None:
        before = self.live_nodes()
        for event in events:
            key = event.key
            known = self._records.get(key)
            if known is not None and event.mod_revision < known.token:
                continue
            if event.put_key:
                self._records[key] = OwnershipRecord(event.value, event.mod_revision)
            else:
                self._records.pop(key, None)
        self._stability.record_change(before, self.live_nodes(), self._effects.now())
        self._after_change()

    def _after_change(self) -> None:
        own_tokens = {
            key: row.token
            for key, row in self._records.items()
            if row.node == self.node and row.incarnation == self._incarnation and not key.startswith(NODE_PREFIX)
        }
        for key, token in list(self._own_tokens.items()):
            if own_tokens.get(key) != token:
                del self._own_tokens[key]
                log.info("no longer owner of %s", key)
                self.listener(key, None)
        for key, token in own_tokens.items():
            if key not in self._own_tokens:
                self._own_tokens[key] = token
                log.info("owner of %s with token %d", key, token)
                self.listener(key, token)
        mine = self._records.get(NODE_PREFIX + self.node)
        self._registered = mine is not None and mine.incarnation == self._incarnation
        team_owners = [row.node for key, row in self._records.items() if key.startswith(TEAM_PREFIX)]
        self._store.set_share(
            max(1, len(self.live_nodes())), team_owners.count(self.node) / len(team_owners) if team_owners else None
        )
        now = self._effects.now()
        for key in self._wanted_keys | set(self._records):
            if key in self._records:
                self._absent_since.pop(key, None)
            else:
                self._absent_since.setdefault(key, now)
        self._effects.later(0.0, self._claim)

    # -- the lease

    def _end_former_lease(self, result: ReadResult) -> None:
        row = result.item
        if result.outcome is ReadOutcome.UNKNOWN:
            self._effects.later(0.1 + 0.2 * self._effects.rng.random(), self.start)
            return
        if row is not None and row.lease_id is not None:
            # Only one process runs under a name, so the lease of the former one can be revoked at once.
            self._store.revoke_lease(row.lease_id, lambda ended: self._begin() if ended else self.start())
        else:
            self._begin()

    def _begin(self) -> None:
        self.watcher.start()
        self._acquire_lease()
        every(self._effects, self.lease_ttl_s / 6, self._claim)

    def _acquire_lease(self) -> None:
        def done(lease: int | None) -> None:
            if lease is None:
                self._effects.later(0.1 + 0.3 * self._effects.rng.random(), self._acquire_lease)
                return
            self._lease = lease
            self._claim()
            self._effects.later(self.lease_ttl_s / 3, partial(self._renew, lease))

        self._store.grant_lease(self.lease_ttl_s, done)

    def _renew(self, lease: int) -> None:
        def done(kind: RenewalOutcome) -> None:
            if kind is RenewalOutcome.EXPIRED:
                log.info("lease %s ended", lease)
                self._lease = None
                self._acquire_lease()
                return
            if kind is RenewalOutcome.RENEWED:
                self._effects.later(self.lease_ttl_s / 3, partial(self._renew, lease))
            else:
                self._effects.later(self.lease_ttl_s / 12, partial(self._renew, lease))

        self._store.renew_lease(lease, self.lease_ttl_s / 3, done)

    # -- claims

    def _claim(self) -> None:
        if self.lease_uncertain:
            return
        self._ticked_at = self._effects.now()
        if self._lease is None or self._writing or not self.watcher.synced or self._ticked_at < self._claim_not_before:
            return
        if not self._registered:
            if NODE_PREFIX + self.node not in self._records:
                self._write([NODE_PREFIX + self.node])
            return
        live = self.live_nodes()
        plan = share_out(self._wanted_keys | {k for k in self._records if not k.startswith(NODE_PREFIX)}, live)
        now = self._effects.now()
        stranded = self._is_stranded(now)
        if not self._is_isolated(live):
            self._shunned_until.clear()  # others hand keys back from now on, and expect them to be taken
        claims = []
        for key, node in plan.items():
            if (
                key in self._records
                or stranded
                and key.startswith(TEAM_PREFIX)
                or self._shunned_until.get(key, now) > now
            ):
                continue
            # The plan gives the key to another node: claim it only if that one has not for longer than a lease lasts.
            if node == self.node or now - self._absent_since.get(key, now) > self.lease_ttl_s:
                claims.append(key)
        if claims:
            self._write(claims[: max(1, min(self._store.max_operations - 1, self._max_claims))])
            return
        self._hand_over(plan, now, stranded)

    def _write(self, keys: list[str]) -> None:
        self._writing = True
        value = {"n": self.node, "b": self._incarnation, "z": self._domain}
        when = dict.fromkeys(keys, 0)
        mine = self._records.get(NODE_PREFIX + self.node)
        if NODE_PREFIX + self.node not in when and mine is not None:
            when[NODE_PREFIX + self.node] = mine.token
        lease = self._lease

        def done(outcome: Outcome, revision: int, failed: list[str]) -> None:
            self._writing = False
            if outcome is Outcome.REJECTED:
                self._max_claims = max(1, len(keys) // 2)
                self._claim_not_before = self._effects.now() + self.lease_ttl_s / 12
            if outcome is Outcome.COMMITTED:
                self._max_claims = min(MOST_CLAIMS, 2 * self._max_claims)
                for key in keys:
                    known = self._records.get(key)
                    if known is None or known.token < revision:
                        self._records[key] = OwnershipRecord(value, revision)
                self._after_change()
            elif outcome is Outcome.CONFLICTED:
                rest = [key for key in keys if key not in failed]
                if rest and len(rest) < len(keys):
                    self._write(rest)
            # Otherwise the watch shows what became of it.

        self._store.transact(when, [wire.put(key, value, lease) for key in keys], CallPriority.RENEW, done)

    def _is_stranded(self, now: float) -> bool:
        """Whether no part can be reached from here for a while, so that a home could place nothing.

        This does not declare any node dead: our teams' keys are deleted, and a node that reaches a partition claims
        them.
        """
        owners = [row.node for key, row in self._records.items() if key.startswith(PARTITION_PREFIX)]
        if not owners or any(self.is_reachable(node) for node in owners):
            self._stranded_since = None
            return False
        if self._stranded_since is None:
            self._stranded_since = now
        return now - self._stranded_since > self.lease_ttl_s / 2

    def _is_out_of_reach(self, key: str, live: dict[str, str]) -> bool:
        """Whether a key of ours is of no use here: no worker is heard, nor any peer that would relay their reports.

        The state service still serves us, so nobody else would ever take it over. While a peer is reached, workers
        that are heard of nowhere are behind a cut themselves, and another owner would hear no more of them.
        """
        if not self._is_isolated(live):
            return False
        if key.startswith(PARTITION_PREFIX):
            return self.is_unheard(key[len(PARTITION_PREFIX) :])
        return key == FLEET_KEY and self.is_unheard(None)

    def _is_isolated(self, live: dict[str, str]) -> bool:
        """Whether other nodes are registered, and none of them can be reached from here."""
        peers = [node for node in live if node != self.node]
        return bool(peers) and not any(self.is_reachable(node) for node in peers)

    def _hand_over(self, plan: dict[str, str], now: float, stranded: bool) -> None:
        """Hand one key to a returned node, at most one per half lease and only once the set of nodes is settled."""
        if not self.is_settled or now - self._handed_over_at < self.lease_ttl_s / 2:
            return
        live = self.live_nodes()
        for key, token in list(self._own_tokens.items()):
            leaving = stranded and key.startswith(TEAM_PREFIX)
            if self._is_out_of_reach(key, live):
                leaving = True
                self._shunned_until[key] = now + SET_ASIDE_LEASES * self.lease_ttl_s
            if leaving or plan.get(key, self.node) != self.node and self.is_reachable(plan[key]):
                self._handed_over_at = now
                log.info("giving up %s to %s", key, "whoever reaches more" if leaving else plan[key])
                # Not at the lowest priority: on a node that has taken over everything, assignments use up the budget,
                # so it would never hand anything over.
                self._store.transact(
                    {key: token}, [wire.drop(key)], CallPriority.ADMIT, lambda _outcome, _epoch, _failed: None
                )
                return
