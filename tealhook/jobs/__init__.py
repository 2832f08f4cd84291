"""The index of all job records that every node keeps, and the tasks of a job as its team's scheduler tracks them."""

from tealhook.jobs.index import JobIndex, JobObserver
from tealhook.jobs.job_records import JobState, job_key

__all__ = ["JobIndex", "JobObserver", "JobState", "job_key"]
