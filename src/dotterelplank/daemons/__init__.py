"""The entry and agent processes and the modules that they share."""
