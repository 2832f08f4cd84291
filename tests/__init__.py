"""Tests of the service, and the cluster in virtual time in which most of them run it."""
