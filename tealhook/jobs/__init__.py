"""Jobs: what every node knows of them, admission, and the homes that run them."""

from tealhook.jobs.book import ACTIVE, CANCELLED, DONE, Book, job_key

__all__ = ["ACTIVE", "CANCELLED", "DONE", "Book", "job_key"]
