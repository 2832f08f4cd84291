"""Concurrent calls to the partition owners of several zones."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from tealhook.mesh import Mesh
from tealhook.wire import mesh as wire


def call_zones(
    mesh: Mesh,
    owners: Mapping[str, str],
    requests: Mapping[str, wire.Body],
    timeout_s: float,
    on_reply: Callable[[str, wire.Body | None], Any],
    on_complete: Callable[[], Any],
) -> None:
    """Send each zone's request to the owner of its partition.

    `on_reply(zone, reply)` is called for each zone, with None as the reply after a timeout. `on_complete()` is called
    once, directly after the last `on_reply`.
    """
    unanswered = set(requests)

    def on_zone_reply(zone: str, reply: wire.Body | None) -> None:
        unanswered.discard(zone)
        on_reply(zone, reply)
        if not unanswered:
            on_complete()

    for zone, request in requests.items():
        mesh.call(owners[zone], request, timeout_s, partial(on_zone_reply, zone))
