"""Admission: submissions, polls and cancellations of users, answered from what is durable."""

from tealhook.admission.admission import Admission

__all__ = ["Admission"]
