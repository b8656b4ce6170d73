"""HTTP/1.1 on one event loop: connections to callers and to endpoints."""
