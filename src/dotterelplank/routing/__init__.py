"""Endpoint selection, admission control, and retry decisions for requests."""
