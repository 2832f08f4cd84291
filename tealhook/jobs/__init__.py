"""Jobs: every node's index of the job records, and a job's tasks as its team's scheduler keeps them."""

from tealhook.jobs.index import JobIndex, JobObserver
from tealhook.jobs.job_records import JobState, job_key

__all__ = ["JobIndex", "JobObserver", "JobState", "job_key"]
