"""Components of a simulated cluster; `tests.simulated_cluster` puts them together."""
