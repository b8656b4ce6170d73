"""Models of the protocols under random faults, and checks of their invariants."""
