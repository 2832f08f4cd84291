"""Mutation tests: runs of combined faults must fail once a guard is disabled."""

import pytest

from tealhook.partitions.partition import Partition
from tests.fault_coverage import assert_violation_found
from tests.test_combined_faults_controllers import failover_at_quota
from tests.test_combined_faults_machines import delayed_heartbeats, late_heartbeats
from tests.test_combined_faults_network import late_writes
from tests.test_guards import _accept_any_proof_of_absence, _assume_uncertain_commits, _ignore_quota


def _trust_any_heartbeat(patch):
    whole = Partition.on_heartbeat

    def on_heartbeat(self, report):
        report.fencing_token = self.token
        machine = self.machines.get(report.machine)
        if machine is not None:
            machine.sequence, machine.session = -1, report.session
        return whole(self, report)

    patch.setattr(Partition, "on_heartbeat", on_heartbeat)


@pytest.mark.parametrize(
    "run, disable_guard, rule",
    [
        (late_writes, _assume_uncertain_commits, ""),
        (late_writes, _accept_any_proof_of_absence, "ran_twice"),
        (late_heartbeats, _trust_any_heartbeat, "ran_twice"),
        (delayed_heartbeats, _trust_any_heartbeat, "ran_twice"),
        (failover_at_quota, _ignore_quota, "quota"),
    ],
    ids=["uncertain commits", "proofs of absence", "old reports", "reports held back", "limits"],
)
def test_disabled_guard_is_detected(run, disable_guard, rule, monkeypatch):
    disable_guard(monkeypatch)
    assert_violation_found(run, range(1, 49), rule, tolerate_assertions=True)
