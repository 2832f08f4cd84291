"""Tests of the service; most of them run it in a cluster that is simulated in virtual time."""
