"""Parsing and validation of the fleet's configuration and the daemons' settings."""
