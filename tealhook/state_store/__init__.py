"""Access to the state store: a rate-limited client, watched views and linearizable reads."""

from tealhook.state_store.client import StateClient
from tealhook.state_store.key_checkpoint import KeyCheckpoint
from tealhook.state_store.read_index import ReadIndex
from tealhook.state_store.request_queue import CallPriority
from tealhook.state_store.results import ReadOutcome, ReadResult, TransactionOutcome, TransactionResult
from tealhook.state_store.scanning_watcher import ScanningWatcher
from tealhook.state_store.watcher import SnapshotWatcher, Watcher

__all__ = [
    "CallPriority",
    "KeyCheckpoint",
    "TransactionOutcome",
    "ReadIndex",
    "ReadOutcome",
    "ReadResult",
    "ScanningWatcher",
    "SnapshotWatcher",
    "StateClient",
    "TransactionResult",
    "Watcher",
]
