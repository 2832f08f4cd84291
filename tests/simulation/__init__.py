"""The parts of a simulated deployment; `tests.simulated_cluster` puts them together."""
