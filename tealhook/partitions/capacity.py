"""What is free on a machine now, and when more should be: by its tasks, its reservations and their estimates."""

from __future__ import annotations

from tealhook.partitions.launched_jobs import LaunchedJobs
from tealhook.partitions.machine import FAR_FUTURE_S, RESOURCE_TOLERANCE, ExpectedEnd, Machine, TaskFit, count_fitting
from tealhook.partitions.state import PartitionState
from tealhook.wire.common import NO_RESOURCES, Resources
from tealhook.wire.workers import TaskStatus


class MachineCapacity:
    """Computes the free resources of machines; each result is kept with its machine until something changes there."""

    def __init__(self, state: PartitionState, launched_jobs: LaunchedJobs) -> None:
        """Resources of tasks are taken from `launched_jobs`, estimates from the job index."""
        self._job_index = state.job_index
        self._machine_types = state.machine_types
        self._launched_jobs = launched_jobs

    def free_resources(self, machine: Machine) -> Resources:
        """What is free on a machine; tasks that yield to a reservation do not count."""
        if machine.free_resources is not None:
            return machine.free_resources
        machine_type = self._machine_types.get(machine.machine_type)
        if machine_type is None:
            return NO_RESOURCES
        # In plain variables: a value for each step would cost more than all the rest.
        vcpus, gpus, memory_gb = machine_type.resources
        for task in machine.tasks.values():
            if task.status == TaskStatus.EXITED or task.preempting_reservation_id:
                continue
            if task.resources is None:
                task.resources = self._launched_jobs.task_resources(task.job)
                if task.resources is None:
                    return NO_RESOURCES  # a task that nobody here knows: give nothing until it is known
            used = task.resources
            vcpus, gpus, memory_gb = vcpus - used[0], gpus - used[1], memory_gb - used[2]
        for reservation in machine.reservations.values():
            used = reservation.resources
            vcpus, gpus, memory_gb = vcpus - used[0], gpus - used[1], memory_gb - used[2]
        machine.free_resources = Resources(vcpus, gpus, memory_gb)
        return machine.free_resources

    def compute_fit(self, machine: Machine, required: Resources) -> TaskFit:
        """Tasks of `required` that fit a machine now; if none does, from when one should.

        Kept with the machine: otherwise one change anywhere has all machines of the partition looked through anew.
        """
        count = count_fitting(self.free_resources(machine), required)
        fit = (count, 0.0 if count else self.free_at(machine, required))
        if machine.free_resources is not None:  # else it has a task that nobody here knows yet
            machine.fit_cache[required] = fit
        return fit

    def free_at(self, machine: Machine, required: Resources) -> float:
        """When a task of `required` should fit, by the estimates of what is on the machine."""
        # In plain variables, as above: with every change of a machine this is done for each kind of waiting task.
        vcpus, gpus, memory_gb = self.free_resources(machine)
        least_vcpus, least_gpus, least_memory_gb = required
        for at, freed in self._expected_ends(machine):
            vcpus, gpus, memory_gb = vcpus + freed[0], gpus + freed[1], memory_gb + freed[2]
            if (
                least_vcpus <= vcpus + RESOURCE_TOLERANCE
                and least_gpus <= gpus + RESOURCE_TOLERANCE
                and least_memory_gb <= memory_gb + RESOURCE_TOLERANCE
            ):
                return at
        return FAR_FUTURE_S

    def empty_in(self, machine: Machine, now: float) -> float:
        """Estimated seconds until what is on a machine has ended."""
        ends = self._expected_ends(machine)
        left_s = max(0.0, ends[-1].ends_at - now) if ends else 0.0
        for reservation in machine.reservations.values():
            entry = self._job_index.active.get(reservation.job)
            left_s = max(left_s, entry.spec.estimated_run_s if entry is not None else 0.0)
        return left_s

    def _expected_ends(self, machine: Machine) -> list[ExpectedEnd]:
        """When the tasks on a machine should end, by their own estimates, and what each frees; the earliest first."""
        if machine.expected_ends is None:
            machine.expected_ends = []
            for task in machine.tasks.values():
                entry = self._job_index.active.get(task.job)
                if task.is_alive and entry is not None and not task.preempting_reservation_id:
                    began_at = task.running_since or task.first_reported_at
                    machine.expected_ends.append(
                        ExpectedEnd(began_at + entry.spec.estimated_run_s, entry.spec.resources)
                    )
            machine.expected_ends.sort()
        return machine.expected_ends
