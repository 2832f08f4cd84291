"""Jobs: what every node knows of them, admission, and the homes that run them."""

from tealhook.jobs.index import JobIndex, JobState, job_key

__all__ = ["JobIndex", "JobState", "job_key"]
