"""Controllers -> cloud: machine types, rentals and the machine list."""

from __future__ import annotations

import enum

import msgspec

from tealhook.wire.common import Resources

MAX_RENTED_AT_ONCE = 50
MAX_RELEASED_AT_ONCE = 100
MACHINE_LIST_PAGE_SIZE = 500


class MachineStatus(enum.StrEnum):
    """The state of a rented machine."""

    STARTING = "starting"
    RUNNING = "running"
    FAILED = "failed"  # stopped of its own accord; listed until it is released


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
        """Whether one task that needs `needed` fits an empty machine of this type."""
        return needed.vcpus <= self.vcpus and needed.gpus <= self.gpus and needed.memory_gb <= self.memory_gb


class MachineTypes(msgspec.Struct):
    """All types on offer."""

    machine_types: list[MachineType] = msgspec.field(name="rigs")


class RentalRequest(msgspec.Struct):
    """A request for machines; `request_id` names it: repeating the request rents nothing more."""

    request_id: str = msgspec.field(name="ask")
    machine_type: str = msgspec.field(name="rig")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    count: int


class RentalReply(msgspec.Struct):
    """The names of the machines of a rental."""

    machines: list[str] = msgspec.field(name="boxes")


class ListedMachine(msgspec.Struct):
    """A machine as the (lagging) list shows it."""

    name: str = msgspec.field(name="name_id")
    machine_type: str = msgspec.field(name="rig")
    zone: str = msgspec.field(name="yard")
    status: str
    address: str = msgspec.field(default="", name="addr")
    spot: bool = msgspec.field(default=False, name="loaners")
    age_s: float = 0.0


class MachineList(msgspec.Struct):
    """One page of the machine list."""

    machines: list[ListedMachine] = msgspec.field(name="boxes")
    more: bool = False


machine_types_decoder = msgspec.json.Decoder(MachineTypes)
rental_reply_decoder = msgspec.json.Decoder(RentalReply)
machine_list_decoder = msgspec.json.Decoder(MachineList)
