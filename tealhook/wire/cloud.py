"""Messages from controllers to the cloud and its answers: machine types, rentals and the machine list."""

from __future__ import annotations

import enum

import msgspec

from tealhook.wire.common import Resources

MAX_RENTED_AT_ONCE = 50  # machines in one rental request
MAX_RELEASED_AT_ONCE = 100  # machines in one release request
MACHINE_LIST_PAGE_SIZE = 500  # machines on one page of the list


class MachineStatus(enum.StrEnum):
    """The state of a rented machine."""

    STARTING = "starting"
    RUNNING = "running"
    FAILED = "failed"  # It stopped by itself and stays listed until it is released.


class MachineType(msgspec.Struct):
    """A type of machine that can be rented."""

    name: str
    vcpus: float
    memory_gb: float
    gpus: float = msgspec.field(default=0.0, name="cards")
    disk_gb: float = msgspec.field(default=0.0, name="local_gb")
    fetch_gb_per_s: float = msgspec.field(default=1.0, name="pull_gb_per_s")
    hourly_price: float = msgspec.field(default=0.0, name="hourly")
    spot_price: float = 0.0
    boot_s: float = msgspec.field(default=0.0, name="ready_s")
    zones: list[str] = msgspec.field(default_factory=list, name="yards")

    @property
    def resources(self) -> Resources:
        """The capacity of an empty machine of this type."""
        return Resources(self.vcpus, self.gpus, self.memory_gb)

    def fits(self, needed: Resources) -> bool:
        """Check whether a task that needs these resources fits on an empty machine of this type."""
        return needed.vcpus <= self.vcpus and needed.gpus <= self.gpus and needed.memory_gb <= self.memory_gb


class MachineTypes(msgspec.Struct):
    """All machine types that the cloud offers."""

    machine_types: list[MachineType] = msgspec.field(name="rigs")


class RentalRequest(msgspec.Struct):
    """A request to rent machines.

    Requests are idempotent by `request_id`: a repeated request rents no further machines.
    """

    request_id: str = msgspec.field(name="ask")
    machine_type: str = msgspec.field(name="rig")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    count: int


class RentalReply(msgspec.Struct):
    """The names of the machines of a rental."""

    machines: list[str] = msgspec.field(name="boxes")


class ListedMachine(msgspec.Struct):
    """An entry of the machine list, which lags behind the actual state of the machines."""

    name: str = msgspec.field(name="name_id")
    machine_type: str = msgspec.field(name="rig")
    zone: str = msgspec.field(name="yard")
    status: str
    address: str = msgspec.field(default="", name="addr")
    spot: bool = msgspec.field(default=False, name="loaners")
    age_s: float = 0.0


class MachineList(msgspec.Struct):
    """One page of the machine list; `more` tells whether further pages follow."""

    machines: list[ListedMachine] = msgspec.field(name="boxes")
    more: bool = False


machine_types_decoder = msgspec.json.Decoder(MachineTypes)
rental_reply_decoder = msgspec.json.Decoder(RentalReply)
machine_list_decoder = msgspec.json.Decoder(MachineList)
