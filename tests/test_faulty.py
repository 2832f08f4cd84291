"""Machines that fail every task, many at a time, and jobs that fail on every machine."""

from tealhook.jobs.book import Known
from tealhook.jobs.job import Job
from tealhook.wire.users import JobSpec
from tests.world import World

ALIKE = {
    "plain": True, "yard": None, "rigs": None, "spread": False, "together": False, "loaners": True,
    "urgency": "standard", "vcpus": 1.0,
}


def _faulty(seed: int, mistaken: bool = False) -> tuple[World, set[str], list[float]]:
    """Twenty machines turn faulty under load: the world, the machines, and how long the jobs after that take."""
    world = World(seed, limit=1e6)
    world.cloud.room = 16
    for i in range(40):
        world.at(2.0 * i, lambda: world.submit(plays=40, expected_s=6.0, **ALIKE))
    world.run(45.0)
    up = [worker for worker in world.cloud.machines.values() if worker.up]
    faulty = {worker.name for worker in up[:20]}
    for worker in up[:20]:
        worker.sick = True
    if mistaken:
        world.jobs[world.submit(plays=10, expected_s=3.0, **ALIKE)].wrong = True
    world.run(200.0)
    took = [job.final_at - job.submitted_at for job in world.jobs.values() if job.final and job.submitted_at > 45.0]
    return world, faulty, took


def test_twenty_faulty_machines_hold_back_no_sound_job():
    """Guards against a job of many tasks on one faulty machine that was tried one task at a time, with pauses of many
    report periods, as if it were mistaken; and against faulty machines kept since large jobs failed on several."""
    world, faulty, took = _faulty(71)
    assert len(faulty) == 20 and world.unfinished() == []
    assert max(took) < 60.0
    assert world.starts < 40 * 40 + 20 * 11  # of tasks that fail: a few on each machine
    assert not any(world.cloud.machines[name].on_machine() for name in faulty & world.cloud.machines.keys())


def test_failures_on_one_machine_are_one_and_a_success_ends_the_wait():
    spec = JobSpec("req-1", "x", "team", "array", "standard", 9, 2.0, 5.4)
    job = Job("req-1", "team", Known(spec, "team", 1, 0.0), 0.0)
    for _ in range(8):
        job.note_failure("host-1")
    assert job.failures == 1
    job.note_failure("host-2")
    assert job.failures == 2
    job.not_before = 80.0
    job.note_success()
    assert job.failures == 0 and job.not_before == 0.0


def test_a_mistaken_job_costs_no_machines():
    world, faulty, _took = _faulty(72, mistaken=True)
    wrong = [job_id for job_id, job in world.jobs.items() if job.wrong]
    assert world.unfinished() == wrong  # until its user cancels it, it is tried now and then
    sick = {name for node in world.nodes.values() for part in node.parts.parts.values()
            for name, machine in part.machines.items() if machine.sick}
    assert sick <= faulty
