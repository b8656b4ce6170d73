"""The entry that forwards each call straight to an endpoint."""
