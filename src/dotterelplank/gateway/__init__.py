"""The entry: a gateway process that forwards each call directly to an endpoint."""
