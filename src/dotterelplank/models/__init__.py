"""Models of protocols under random faults, and the checks that they must pass."""
