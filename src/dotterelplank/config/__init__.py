"""What operators set, checked: the configuration of a fleet and daemons' settings."""
