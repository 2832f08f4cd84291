"""The durable record of a job's tasks."""

import random

from tealhook.jobs.book import Known
from tealhook.jobs.job import Attempt, Job
from tealhook.wire.common import dumps
from tealhook.wire.users import JobSpec


def _job(plays: int) -> Job:
    spec = JobSpec("req-1", "x", "team", "array", "standard", plays, 2.0, 5.4)
    return Job("req-1", "team", Known(spec, "team", 1, 0.0), 0.0)


def test_a_record_comes_back_as_it_was_and_holds_a_wide_job():
    """Guards against a job whose tasks could not all run at once because its record was full."""
    rng = random.Random(3)
    job = _job(400)
    tasks = iter(range(400))
    for machine in range(195):  # two tasks on nearly every machine of four parts, a third of them placed anew
        for index in [i for _ in range(2) if (i := next(tasks, None)) is not None]:
            job.counter += 1
            number = job.counter + (300 if rng.random() < 0.3 else 0)
            zone, token = f"long-zone-name-{machine % 4}", 41230 + machine % 4
            job.attempts[index] = Attempt(index, number, f"host-{machine:06d}", 2, zone, token, 0.0)
    job.mark_done(395)
    job.mark_done(396)
    value = job.encode()
    assert len(dumps(value)) < 0.97 * 8 * 1024
    again = _job(400)
    again.load(value, 7, 0.0)
    def state(j: Job) -> set[tuple]:
        return {(a.index, a.number, a.machine, a.shift, a.zone, a.token) for a in j.attempts.values()}

    assert state(again) == state(job) and len(state(job)) == 390
    assert again.done == job.done and again.counter == job.counter
