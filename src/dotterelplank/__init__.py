"""Load balancer for expert-parallel model groups."""
