"""What a whole deployment in virtual time is composed of; `tests.simulated_cluster` puts it together."""
