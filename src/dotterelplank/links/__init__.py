"""Connections between daemons and to endpoints: messages, handshakes, servers."""
