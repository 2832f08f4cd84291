"""Stand-ins for the state store, the cloud and the workers that follow the protocol in virtual time."""

from tests.standins.cloud import Cloud
from tests.standins.state import StateStore
from tests.standins.worker import Worker

__all__ = ["Cloud", "StateStore", "Worker"]
