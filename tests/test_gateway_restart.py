import asyncio
import contextlib

import testtools
from entry_process import free_ports, is_ready, running_entry, wait_until
from platform_standin import ServiceStandin, StoreStandin, configuration, listening
from soak_proxy import Mode, proxied

IPS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")


@contextlib.asynccontextmanager
async def _running_entries(ports, peer_port):
    """Run an entry at each address, and yield the entries when they are ready.

    :param ports: for each entry, the port at which it reaches the store.
    """
    async with contextlib.AsyncExitStack() as stack:
        entries = []
        for ip, port in zip(IPS, ports):
            seeds = [other for other in IPS if other != ip]
            one = await stack.enter_async_context(
                running_entry(port, ip, peer_port, seeds)
            )
            entries.append(one)
        for entry in entries:
            await wait_until(lambda one=entry: is_ready(one), what=f"{entry.ip} ready")
        yield entries


class RestartTests(testtools.TestCase):
    """All entries are killed while the store resets the connections of some hosts."""

    def test_entries_without_the_store_serve_again_after_all_were_killed(self):
        async def run():
            store = StoreStandin()
            store.put("op/config", configuration())
            server = ServiceStandin("i-0")
            async with contextlib.AsyncExitStack() as stack:
                server.port = await stack.enter_async_context(listening(server))
                store.put("servers/i-0", server.entry())
                store_port = await stack.enter_async_context(listening(store))
                proxy, refusing_port = await stack.enter_async_context(
                    proxied(store_port)
                )
                (peer_port,) = free_ports(IPS[0], 1)
                async with _running_entries(
                    (store_port, refusing_port, refusing_port), peer_port
                ):
                    proxy.set(Mode.RESET)
                # The first entries have been killed at the end of the block.
                async with _running_entries(
                    (store_port, refusing_port, refusing_port), peer_port
                ) as entries:
                    return [(await entry.call(b"/q/x")).status for entry in entries]

        self.assertEqual([200, 200, 200], asyncio.run(run()))
