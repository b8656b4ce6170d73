"""The demo: a small fleet in one process, with an engine that dies midway."""
