"""Which processes belong to the fleet, and the revisions that they pass on."""
