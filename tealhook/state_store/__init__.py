"""The state service: client with request budgets, watches and linearizable reads."""

from tealhook.state_store.client import Outcome, StateClient
from tealhook.state_store.read_index import ReadIndex
from tealhook.state_store.request_queue import CallPriority
from tealhook.state_store.watcher import Watcher

__all__ = ["CallPriority", "Outcome", "ReadIndex", "StateClient", "Watcher"]
