"""Who owns what: one lease a node, and keys claimed under it.

The stamp of an ownership key at its claim is the owner's fencing token. Nothing here decides that a node
is dead: only the end of its lease at the state service does.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from tealhook.loop.effects import Effects, every
from tealhook.settings import Settings
from tealhook.store.client import Outcome, Priority, ReadKind, RenewKind, StateClient
from tealhook.store.shares import FLEET, HOME, NODE, OWN, PART, home_key, part_key, share_out
from tealhook.store.stability import Stability
from tealhook.store.watcher import Watcher
from tealhook.wire import state as wire

log = logging.getLogger("tealhook.store")

MOST_CLAIMS = 8  # in one transaction
SET_ASIDE_LEASES = 12  # so long a key is left to others that was given up because no worker is heard


class _Owned:
    """The value of an ownership key; a malformed one names nobody."""

    __slots__ = ("node", "incarnation", "stamp", "domain")

    def __init__(self, row_value: Any, stamp: int) -> None:
        value = row_value if isinstance(row_value, dict) else {}
        self.node = str(value.get("n", ""))
        self.incarnation = str(value.get("b", ""))
        self.domain = str(value.get("z", ""))
        self.stamp = stamp


class Ownership:
    """This node's lease, its claims, and the view of everybody's."""

    def __init__(self, effects: Effects, settings: Settings, store: StateClient) -> None:
        """Nothing is read or claimed before `start`; `listener` and `reachable` are to be set until then."""
        self._effects = effects
        self._store = store
        self.node = settings.node
        self._domain = settings.domain
        self.ttl_s = settings.params.workers.lease_s / 3
        self.incarnation = effects.rng.getrandbits(62)
        self._incarnation = f"{self.incarnation:x}"
        self._lease: int | None = None
        self._registered = False
        self._busy = False
        self._most_claims = MOST_CLAIMS  # of one transaction; fewer after one was rejected
        self._claim_from = -1e9  # a rejected claim is not repeated before
        self._rows: dict[str, _Owned] = {}
        self._absent_since: dict[str, float] = {}
        self._stability = Stability(self.ttl_s, effects.now())
        self._ticked_at = effects.now()  # when a frequent timer of ours last ran
        self._stood_still_at = -1e9  # when it was last found that none had run for long
        self._gave_up_at = -1e9
        self._wanted: set[str] = {FLEET}
        self._wanted.update(home_key(name) for name in settings.team_names)
        self._wanted.update(part_key(zone) for zone in settings.params.zones)
        self._held: dict[str, int] = {}  # what the listener was told that we own
        self.listener: Callable[[str, int | None], Any] = lambda _key, _token: None
        self.reachable: Callable[[str], bool] = lambda _node: True
        # Whether none of a zone's workers, or for None of all zones', is heard here.
        self.unheard: Callable[[str | None], bool] = lambda _zone: False
        self._set_aside: dict[str, float] = {}  # keys that we gave up for that, not to be claimed before
        self._stranded_at: float | None = None  # since when no owner of a part can be reached
        self.watcher = Watcher(
            effects, store, OWN, settings.params.workers.lease_s / 12, self._on_rows, self._on_events
        )

    def start(self) -> None:
        """End what an earlier process of this name held, then register."""
        self._store.get(NODE + self.node, self._end_former_lease, Priority.RENEW)

    def add(self, key: str) -> None:
        """A key that somebody should own."""
        self._wanted.add(key)

    # -- the view

    def owner(self, key: str) -> str | None:
        """The node that owns a key as far as known."""
        owned = self._rows.get(key)
        return owned.node if owned else None

    def token(self, key: str) -> int | None:
        """The owner's fencing token as far as known, whoever the owner is."""
        owned = self._rows.get(key)
        return owned.stamp if owned else None

    def mine(self, key: str) -> int | None:
        """Our fencing token for a key that we own."""
        return self._held.get(key)

    def live(self) -> dict[str, str]:
        """Registered nodes and their zones."""
        return {key[len(NODE) :]: row.domain for key, row in self._rows.items() if key.startswith(NODE)}

    def incarnation_of(self, node: str) -> int | None:
        """Which process is registered under a node's name, if one is."""
        row = self._rows.get(NODE + node)
        try:
            return int(row.incarnation, 16) if row is not None else None
        except ValueError:
            return None

    def holdings(self) -> dict[str, int]:
        """Our keys and tokens, as sent to the other controllers."""
        return dict(self._held)

    def learn_tokens(self, node: str, holdings: dict[str, int]) -> None:
        """A peer names its keys. A token above ours ends our ownership, even while we can't read the state service.

        Without this, an owner cut off from the state service alone would keep its workers by answering them,
        and the new owner would take their machines for lost.
        """
        changed = False
        for key, token in holdings.items():
            known = self._rows.get(key)
            if known is not None and known.stamp < token:
                known = _Owned({"n": node}, token)
                self._rows[key] = known
                changed = True
        if changed:
            self._after_change()

    def zones(self) -> list[str]:
        """Every zone that has, or should have, a part."""
        keys = self._wanted | self._rows.keys()
        return sorted(key[len(PART) :] for key in keys if key.startswith(PART))

    @property
    def lease_uncertain(self) -> bool:
        """Whether this process was suspended so long that its lease may have ended and others may own its keys.

        After a suspension overdue timers may run before the sockets are read. This guards against decisions on
        ownership that has ended: nothing is rented, returned or launched until a view requested since has arrived.
        An outage of the state service does not count: nobody can take anything over then.
        """
        now = self._effects.now()
        if now - self._ticked_at > self.ttl_s / 2:
            self._ticked_at = self._stood_still_at = now
        return self.watcher.viewed_at < self._stood_still_at

    @property
    def settled(self) -> bool:
        """Whether we are registered, and the set of live nodes has stayed the same for long enough."""
        return self._registered and self._stability.settled(self._effects.now())

    def _on_rows(self, rows: list[wire.Row]) -> None:
        self._rows = {row.path: _Owned(row.v, row.stamp) for row in rows}
        self._after_change()

    def _on_events(self, events: list[wire.Event]) -> None:
        before = self.live()
        for event in events:
            key = event.key
            known = self._rows.get(key)
            if known is not None and event.stamp < known.stamp:
                continue
            if event.write:
                self._rows[key] = _Owned(event.v, event.stamp)
            else:
                self._rows.pop(key, None)
        self._stability.note(before, self.live(), self._effects.now())
        self._after_change()

    def _after_change(self) -> None:
        held = {
            key: row.stamp
            for key, row in self._rows.items()
            if row.node == self.node and row.incarnation == self._incarnation and not key.startswith(NODE)
        }
        for key, token in list(self._held.items()):
            if held.get(key) != token:
                del self._held[key]
                log.info("no longer owner of %s", key)
                self.listener(key, None)
        for key, token in held.items():
            if key not in self._held:
                self._held[key] = token
                log.info("owner of %s with token %d", key, token)
                self.listener(key, token)
        mine = self._rows.get(NODE + self.node)
        self._registered = mine is not None and mine.incarnation == self._incarnation
        homes = [row.node for key, row in self._rows.items() if key.startswith(HOME)]
        self._store.share(max(1, len(self.live())), homes.count(self.node) / len(homes) if homes else None)
        now = self._effects.now()
        for key in self._wanted | set(self._rows):
            if key in self._rows:
                self._absent_since.pop(key, None)
            else:
                self._absent_since.setdefault(key, now)
        self._effects.later(0.0, self._claim)

    # -- the lease

    def _end_former_lease(self, kind: ReadKind, row: wire.Row | None) -> None:
        if kind == "unknown":
            self._effects.later(0.1 + 0.2 * self._effects.rng.random(), self.start)
            return
        if row is not None and row.hold is not None:
            # Only one process runs under a name, so the lease of the former one can be revoked at once.
            self._store.revoke_lease(row.hold, lambda ended: self._begin() if ended else self.start())
        else:
            self._begin()

    def _begin(self) -> None:
        self.watcher.start()
        self._acquire_lease()
        every(self._effects, self.ttl_s / 6, self._claim)

    def _acquire_lease(self) -> None:
        def done(lease: int | None) -> None:
            if lease is None:
                self._effects.later(0.1 + 0.3 * self._effects.rng.random(), self._acquire_lease)
                return
            self._lease = lease
            self._claim()
            self._effects.later(self.ttl_s / 3, partial(self._renew, lease))

        self._store.grant_lease(self.ttl_s, done)

    def _renew(self, lease: int) -> None:
        def done(kind: RenewKind) -> None:
            if kind == "ended":
                log.info("lease %s ended", lease)
                self._lease = None
                self._acquire_lease()
                return
            if kind == "ok":
                self._effects.later(self.ttl_s / 3, partial(self._renew, lease))
            else:
                self._effects.later(self.ttl_s / 12, partial(self._renew, lease))

        self._store.renew_lease(lease, self.ttl_s / 3, done)

    # -- claims

    def _claim(self) -> None:
        if self.lease_uncertain:
            return
        self._ticked_at = self._effects.now()
        if self._lease is None or self._busy or not self.watcher.synced or self._ticked_at < self._claim_from:
            return
        if not self._registered:
            if NODE + self.node not in self._rows:
                self._write([NODE + self.node])
            return
        live = self.live()
        plan = share_out(self._wanted | {k for k in self._rows if not k.startswith(NODE)}, live)
        now = self._effects.now()
        stranded = self._stranded(now)
        if not self._isolated(live):
            self._set_aside.clear()  # others hand keys back from now on, and expect them to be taken
        claims = []
        for key, node in plan.items():
            if key in self._rows or stranded and key.startswith(HOME) or self._set_aside.get(key, now) > now:
                continue
            # The plan gives the key to another node: claim it only if that one has not for longer than a lease lasts.
            if node == self.node or now - self._absent_since.get(key, now) > self.ttl_s:
                claims.append(key)
        if claims:
            self._write(claims[: max(1, min(self._store.txn_ops - 1, self._most_claims))])
            return
        self._give_up(plan, now, stranded)

    def _write(self, keys: list[str]) -> None:
        self._busy = True
        value = {"n": self.node, "b": self._incarnation, "z": self._domain}
        when = dict.fromkeys(keys, 0)
        mine = self._rows.get(NODE + self.node)
        if NODE + self.node not in when and mine is not None:
            when[NODE + self.node] = mine.stamp
        lease = self._lease

        def done(outcome: Outcome, epoch: int, failed: list[str]) -> None:
            self._busy = False
            if outcome is Outcome.REJECTED:
                self._most_claims = max(1, len(keys) // 2)
                self._claim_from = self._effects.now() + self.ttl_s / 12
            if outcome is Outcome.OK:
                self._most_claims = min(MOST_CLAIMS, 2 * self._most_claims)
                for key in keys:
                    known = self._rows.get(key)
                    if known is None or known.stamp < epoch:
                        self._rows[key] = _Owned(value, epoch)
                self._after_change()
            elif outcome is Outcome.CONFLICT:
                rest = [key for key in keys if key not in failed]
                if rest and len(rest) < len(keys):
                    self._write(rest)
            # Otherwise the watch shows what became of it.

        self._store.txn(when, [wire.put(key, value, lease) for key in keys], Priority.RENEW, done)

    def _stranded(self, now: float) -> bool:
        """Whether no part can be reached from here for a while, so that a home could place nothing.

        This does not declare any node dead: our homes' keys are deleted, and a node that reaches a part claims them.
        """
        owners = [row.node for key, row in self._rows.items() if key.startswith(PART)]
        if not owners or any(self.reachable(node) for node in owners):
            self._stranded_at = None
            return False
        if self._stranded_at is None:
            self._stranded_at = now
        return now - self._stranded_at > self.ttl_s / 2

    def _is_out_of_reach(self, key: str, live: dict[str, str]) -> bool:
        """Whether a key of ours is of no use here: no worker is heard, nor any peer that would relay their reports.

        The state service still serves us, so nobody else would ever take it over. While a peer is reached, workers
        that are heard of nowhere are behind a cut themselves, and another owner would hear no more of them.
        """
        if not self._isolated(live):
            return False
        if key.startswith(PART):
            return self.unheard(key[len(PART) :])
        return key == FLEET and self.unheard(None)

    def _isolated(self, live: dict[str, str]) -> bool:
        """Whether other nodes are registered, and none of them can be reached from here."""
        peers = [node for node in live if node != self.node]
        return bool(peers) and not any(self.reachable(node) for node in peers)

    def _give_up(self, plan: dict[str, str], now: float, stranded: bool) -> None:
        """Hand one key to a returned node, at most one per half lease and only once the set of nodes is settled."""
        if not self.settled or now - self._gave_up_at < self.ttl_s / 2:
            return
        live = self.live()
        for key, token in list(self._held.items()):
            leaving = stranded and key.startswith(HOME)
            if self._is_out_of_reach(key, live):
                leaving = True
                self._set_aside[key] = now + SET_ASIDE_LEASES * self.ttl_s
            if leaving or plan.get(key, self.node) != self.node and self.reachable(plan[key]):
                self._gave_up_at = now
                log.info("giving up %s to %s", key, "whoever reaches more" if leaving else plan[key])
                # Not at the lowest priority: on a node that has taken over everything, assignments use up the budget,
                # so it would never hand anything over.
                self._store.txn({key: token}, [wire.drop(key)], Priority.ADMIT, lambda _outcome, _epoch, _failed: None)
                return
