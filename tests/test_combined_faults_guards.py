"""Mutation tests: runs of combined faults must fail once a guard is disabled."""

import pytest

from tealhook.partitions.partition import Partition
from tests.fault_coverage import assert_violation_found
from tests.test_combined_faults_controllers import failover_at_quota
from tests.test_combined_faults_machines import delayed_heartbeats, late_heartbeats
from tests.test_combined_faults_network import late_writes
from tests.test_guards import _accept_any_proof_of_absence, _assume_uncertain_commits_succeeded, _ignore_quota


def _accept_outdated_heartbeats(monkeypatch):
    """Accept heartbeats of earlier owners, sessions and sequence numbers as current ones."""
    process_heartbeat = Partition.on_heartbeat

    def on_heartbeat(self, heartbeat):
        heartbeat.fencing_token = self.token
        machine = self.machines.get(heartbeat.machine)
        if machine is not None:
            machine.sequence, machine.session = -1, heartbeat.session
        return process_heartbeat(self, heartbeat)

    monkeypatch.setattr(Partition, "on_heartbeat", on_heartbeat)


@pytest.mark.parametrize(
    "run, disable_guard, rule",
    [
        (late_writes, _assume_uncertain_commits_succeeded, ""),
        (late_writes, _accept_any_proof_of_absence, "ran_twice"),
        (late_heartbeats, _accept_outdated_heartbeats, "ran_twice"),
        (delayed_heartbeats, _accept_outdated_heartbeats, "ran_twice"),
        (failover_at_quota, _ignore_quota, "quota"),
    ],
    ids=["uncertain commits", "proofs of absence", "old reports", "reports held back", "limits"],
)
def test_disabled_guard_is_detected(run, disable_guard, rule, monkeypatch):
    disable_guard(monkeypatch)
    assert_violation_found(run, range(1, 49), rule, tolerate_assertions=True)
