"""Benchmarks of the decision functions, the protocols and the request path."""
