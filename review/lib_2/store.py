"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import urllib.parse

from . import http

HISTORY = 10_000


class Store:
    """Items, their history, and watches."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.log = []
        self.changed = asyncio.Event()
        self.era = 1
        self.address = None
        self.server = None
        self.writers = set()

    async def start(self, ip, port):
        """Listen for calls."""
        self.address = (ip, port)
        self.server = await http.serve(self._handle, ip, port, self.writers)

    def copy(self):
        """Return a copy of the store's content."""
        return self.revision, dict(self.items)

    def stop(self):
        """Be away: close the port and all channels."""
        self.server.close()
        for writer in list(self.writers):
            http.reset(writer)

    async def restore(self, copy):
        """Come back from a copy: what was written since and the history are gone."""
        self.revision, items = copy
        self.items = dict(items)
        self.log = []
        self.era += 1
        await self.start(*self.address)

    def put(self, key, value):
        """Write an item, whose value is encoded as JSON; None removes the item."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "tombstone": True}
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            before = self.items.get(key)
            created = self.revision if before is None else before["created"]
            event = {
                "key": key,
                "value": text,
                "revision": self.revision,
                "created": created,
                "lease": 0,
            }
            self.items[key] = event
        self.log = [*self.log[-HISTORY:], event]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, request, writer):
        _, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        found = dict(urllib.parse.parse_qsl(query))
        status, body = 400, {}
        if path == "/v1/kv-range":
            status, body = 200, self._range(found)
        elif path == "/v1/kv-watch":
            status, body = await self._watch(found)
        elif path == "/v1/kv-key":
            item = self.items.get(found.get("key", ""))
            status = 404 if item is None else 200
            body = {**(item or {}), "current_rev": self.revision}
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        data = json.dumps(body).encode()
        writer.write(http.encode(f"HTTP/1.1 {status} X", headers, data))
        await writer.drain()
        return True

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:500]],
            "has_more": len(keys) > 500,
            "current_rev": self.revision,
        }

    async def _watch(self, query):
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        oldest = self.log[0]["revision"] if self.log else self.revision + 1
        if after > self.revision or after < oldest - 1:
            return 410, {"error": "this history is gone"}
        end = asyncio.get_running_loop().time() + wait_s
        while not (events := self._events(query.get("prefix", ""), after)):
            left = end - asyncio.get_running_loop().time()
            if left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        return 200, {"events": events, "current_rev": self.revision}

    def _events(self, prefix, after):
        return [
            event
            for event in self.log
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
