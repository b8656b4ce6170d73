"""Measurements of decisions, protocols and the path, on virtual and on real clocks."""
