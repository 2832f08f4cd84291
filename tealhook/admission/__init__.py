"""Admission of jobs: answers to users' submissions, polls and cancellations, based on durable state."""

from tealhook.admission.admission import Admission

__all__ = ["Admission"]
