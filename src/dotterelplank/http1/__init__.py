"""HTTP/1.1 for asyncio: a server for callers and a client for endpoints."""
