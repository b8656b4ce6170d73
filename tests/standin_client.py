"""A small HTTP client for the tests of the stand-ins."""

import concurrent.futures
import dataclasses
import json
import time
import typing as t

import urllib3

CONNECTIONS = 32
TIMEOUT_S = 60


def wait_until(condition):
    """Wait until ``condition`` returns a true value; the test fails after TIMEOUT_S."""
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > end_s:
            raise AssertionError("the condition was not met in time")
        time.sleep(0.001)


@dataclasses.dataclass(frozen=True)
class Response:
    status: int
    body: bytes
    headers: t.Mapping[str, str]

    @property
    def json(self):
        return json.loads(self.body)


class Client:
    def __init__(self, port):
        self.root = f"http://127.0.0.1:{port}"
        self._pool = urllib3.PoolManager(
            maxsize=CONNECTIONS, retries=False, timeout=TIMEOUT_S
        )
        self._threads = concurrent.futures.ThreadPoolExecutor(CONNECTIONS)

    def call(self, method, path, body=None, **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        response = self._pool.request(
            method, self.root + path, json=body, headers=names
        )
        return Response(response.status, response.data, response.headers)

    def start(self, method, path, body=None, **headers):
        """Make a call on a thread and return the future of its response."""
        return self._threads.submit(self.call, method, path, body, **headers)

    def stream(self, path, body, **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return self._pool.request(
            "POST", self.root + path, json=body, headers=names, preload_content=False
        )
