"""Free resources of machines, now and as estimated for later."""

from __future__ import annotations

from tealhook.partitions.launched_jobs import LaunchedJobs
from tealhook.partitions.machine import FAR_FUTURE_S, ExpectedEnd, Machine, TaskFit, count_fitting
from tealhook.partitions.state import PartitionState
from tealhook.wire.common import NO_RESOURCES, RESOURCE_TOLERANCE, Resources
from tealhook.wire.workers import TaskStatus


class MachineCapacity:
    """Computes the free resources of machines, and caches each result on its machine until something changes there."""

    def __init__(self, state: PartitionState, launched_jobs: LaunchedJobs) -> None:
        """Initialize with `launched_jobs` for the resources of tasks; estimates come from the job index."""
        self._job_index = state.job_index
        self._machine_types = state.machine_types
        self._launched_jobs = launched_jobs

    def free_resources(self, machine: Machine) -> Resources:
        """Return the free resources of a machine, not counting tasks that are being preempted for a reservation."""
        if machine.free_resources is not None:
            return machine.free_resources
        machine_type = self._machine_types.get(machine.machine_type)
        if machine_type is None:
            return NO_RESOURCES
        # Plain variables: creating a `Resources` in each step would cost more than everything else here.
        vcpus, gpus, memory_gb = machine_type.resources
        for task in machine.tasks.values():
            if task.status == TaskStatus.EXITED or task.preempting_reservation_id:
                continue
            if task.resources is None:
                task.resources = self._launched_jobs.task_resources(task.job)
                if task.resources is None:
                    return NO_RESOURCES  # until its job is known, the task may use everything
            used = task.resources
            vcpus, gpus, memory_gb = vcpus - used[0], gpus - used[1], memory_gb - used[2]
        for reservation in machine.reservations.values():
            used = reservation.resources
            vcpus, gpus, memory_gb = vcpus - used[0], gpus - used[1], memory_gb - used[2]
        machine.free_resources = Resources(vcpus, gpus, memory_gb)
        return machine.free_resources

    def compute_fit(self, machine: Machine, required: Resources) -> TaskFit:
        """Return the number of tasks of `required` that fit on a machine now, or the time from which one should.

        The result is cached on the machine, so that one change does not cause a scan of all machines of the partition.
        """
        count = count_fitting(self.free_resources(machine), required)
        fit = (count, 0.0 if count else self.estimate_free_at(machine, required))
        if machine.free_resources is not None:  # None while the machine's type or a task's job is unknown
            machine.fit_cache[required] = fit
        return fit

    def estimate_free_at(self, machine: Machine, required: Resources) -> float:
        """Return the time from which a task of `required` should fit, by the estimates of the tasks on the machine."""
        # Plain variables as above: this runs for each kind of waiting task whenever a machine changes.
        vcpus, gpus, memory_gb = self.free_resources(machine)
        required_vcpus, required_gpus, required_memory_gb = required
        for ends_at, freed in self._expected_ends(machine):
            vcpus, gpus, memory_gb = vcpus + freed[0], gpus + freed[1], memory_gb + freed[2]
            if (
                required_vcpus <= vcpus + RESOURCE_TOLERANCE
                and required_gpus <= gpus + RESOURCE_TOLERANCE
                and required_memory_gb <= memory_gb + RESOURCE_TOLERANCE
            ):
                return ends_at
        return FAR_FUTURE_S

    def estimate_empty_s(self, machine: Machine, now: float) -> float:
        """Return the estimated seconds until the tasks and reservations on a machine have ended."""
        ends = self._expected_ends(machine)
        remaining_s = max(0.0, ends[-1].ends_at - now) if ends else 0.0
        for reservation in machine.reservations.values():
            entry = self._job_index.active.get(reservation.job)
            remaining_s = max(remaining_s, entry.spec.estimated_run_s if entry is not None else 0.0)
        return remaining_s

    def _expected_ends(self, machine: Machine) -> list[ExpectedEnd]:
        """Return the estimated ends of the tasks on a machine, earliest first, with the resources that each frees."""
        if machine.expected_ends is None:
            machine.expected_ends = []
            for task in machine.tasks.values():
                entry = self._job_index.active.get(task.job)
                if task.is_alive and entry is not None and not task.preempting_reservation_id:
                    started_at = task.running_since or task.first_reported_at
                    machine.expected_ends.append(
                        ExpectedEnd(started_at + entry.spec.estimated_run_s, entry.spec.resources)
                    )
            machine.expected_ends.sort()
        return machine.expected_ends
