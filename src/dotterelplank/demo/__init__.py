"""The demo: a small fleet in one process, in which an engine dies during a request."""
