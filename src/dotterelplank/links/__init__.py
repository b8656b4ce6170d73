"""Links between daemons and to endpoints: messages, frames, handshakes, servers."""
