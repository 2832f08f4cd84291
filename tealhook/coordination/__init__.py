"""Coordination of controllers: node leases, ownership keys, fencing tokens and version agreement."""

from tealhook.coordination.ownership import Ownership
from tealhook.coordination.ownership_keys import FLEET_KEY, partition_key, team_key
from tealhook.coordination.ownership_view import OwnershipView
from tealhook.coordination.version_agreement import VersionAgreement

__all__ = ["FLEET_KEY", "Ownership", "OwnershipView", "VersionAgreement", "partition_key", "team_key"]
