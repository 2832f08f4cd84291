"""Benchmarks on real processes, which are started by hand."""
