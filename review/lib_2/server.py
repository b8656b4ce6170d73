"""A stand-in of a server: ``python3 -m lib_2.server ID IP PORT DEADLY HOW``.

It answers requests to /stream/ with events, and others with a body of as many bytes as
the query `bytes` tells. With a part that crashes servers in `X-Prefix-Hash`, it crashes
as it begins to write the answer. With `unframed` as HOW, its answers have neither a
length nor chunks and end with their channels. After SIGUSR1 it says in its answers that
it leaves. It prints a line for each request.
"""

import asyncio
import json
import os
import signal
import sys
import urllib.parse

from . import http

SLOTS = 6
FIRST_EVENT_S = 0.12
EVENT_S = 0.04
EVENTS = 8
UNFRAMED_EVENTS = 24
WORK_S = 0.02
BODY_PARTS = 10
BODY_PART_S = 0.04


class Server:
    """One server."""

    def __init__(self, name, deadly, is_framed):
        self._name, self._deadly, self._is_framed = name, deadly, is_framed
        self.is_leaving = False
        self._slots = asyncio.Semaphore(SLOTS)

    async def handle(self, request, writer):
        """Answer one request; return whether to keep the channel."""
        method, target, _ = request.first.split(" ")
        call_id = request.header("x-request-id", "")
        parts = request.header("x-prefix-hash", "")
        if request.header("x-expect-instance", self._name) != self._name:
            writer.write(
                http.encode("HTTP/1.1 421 Misdirected", [("X-Request-Id", call_id)])
            )
            await writer.drain()
            return True
        self._tell("reached", id=call_id, parts=parts)
        async with self._slots:
            if not self._is_framed:
                await self._unframed(request, target, writer, call_id)
                return False
            if target.startswith("/stream/"):
                await self._stream(request, writer, call_id, parts)
            else:
                await self._plain(target, writer, call_id)
        return True

    async def _stream(self, request, writer, call_id, parts):
        await asyncio.sleep(FIRST_EVENT_S)
        self._tell("runs", id=call_id)
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {call_id}",
            "X-Server-Signature: proof",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        if self._deadly in [part.partition(":")[0] for part in parts.split(",")]:
            self._tell("crashes", id=call_id)
            os.kill(os.getpid(), signal.SIGKILL)
        first = int(request.header("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: text %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _plain(self, target, writer, call_id):
        await asyncio.sleep(WORK_S)
        self._tell("runs", id=call_id)
        query = dict(urllib.parse.parse_qsl(target.partition("?")[2]))
        body = b"x" * int(query.get("bytes", "800"))
        headers = [("X-Request-Id", call_id), ("X-Server-Signature", "proof")]
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        writer.write(http.encode("HTTP/1.1 200 OK", headers, body))
        await writer.drain()

    async def _unframed(self, request, target, writer, call_id):
        await asyncio.sleep(FIRST_EVENT_S)
        self._tell("runs", id=call_id)
        is_stream = target.startswith("/stream/")
        kind = "text/event-stream" if is_stream else "text/plain"
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {call_id}",
            "X-Server-Signature: proof",
            f"Content-Type: {kind}",
            "Connection: close",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(request.header("last-event-id", "0")) + 1
        if is_stream:
            for number in range(first, UNFRAMED_EVENTS + 1):
                writer.write(b"id: %d\ndata: text %d\n\n" % (number, number))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
        else:
            for _ in range(BODY_PARTS):
                writer.write(b"x" * 80)
                await writer.drain()
                await asyncio.sleep(BODY_PART_S)
        self._tell("answered", id=call_id)

    def _tell(self, what, **fields):
        print(json.dumps({"what": what, "server": self._name, **fields}), flush=True)


async def main():
    """Serve until the process is ended."""
    name, ip, port, deadly, how = sys.argv[1:6]
    server = Server(name, deadly, how != "unframed")
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGUSR1, lambda: setattr(server, "is_leaving", True)
    )
    listener = await http.serve(server.handle, ip, int(port))
    print(json.dumps({"what": "listens", "server": name}), flush=True)
    async with listener:
        await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
