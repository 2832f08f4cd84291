"""The state service: client with token buckets, watches, leases and ownership."""

from tealhook.store.client import Outcome, Priority, StateClient
from tealhook.store.ownership import FLEET, Ownership, home_key, part_key
from tealhook.store.read_index import ReadIndex
from tealhook.store.versions import Versions
from tealhook.store.watcher import Watcher

__all__ = [
    "FLEET",
    "Outcome",
    "Ownership",
    "Priority",
    "ReadIndex",
    "StateClient",
    "Versions",
    "Watcher",
    "home_key",
    "part_key",
]
