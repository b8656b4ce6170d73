import threading
import time

import testtools

from dotterelplank.links import links
from dotterelplank.links.link_server import Handlers, LinkServer
from dotterelplank.links.links import Identity
from dotterelplank.links.messages import Chunk

SECRET = b"a secret of sixteen bytes or more"
CHUNK_COUNT = 24
CHUNK_DATA = b"x" * 1024 * 1024


def handlers(on_ready=lambda link: None, on_message=lambda link, message: None):
    return Handlers(
        on_ready=on_ready,
        on_message=on_message,
        on_closed=lambda link, dialled: None,
        on_tick=lambda now_ms: None,
        on_datagram=lambda data, address, port: None,
        on_pause=lambda late_ms: None,
    )


class StopTests(testtools.TestCase):
    def serve(self, host, server_handlers):
        server = LinkServer(Identity(host, "agent", "fd-1", 1, SECRET), server_handlers)
        port = server.listen("127.0.0.1", 0)
        server.start()
        return server, port

    def test_a_stop_sends_all_queued_data_to_a_slow_peer(self):
        received = []
        ended = threading.Event()
        ready = threading.Event()
        opened = []

        def receive_slowly(link, message):
            time.sleep(0.005)
            received.append(message.sequence)
            if len(received) == CHUNK_COUNT:
                ended.set()

        def on_link_ready(link):
            opened.append(link)
            ready.set()

        reader, port = self.serve("reader", handlers(on_message=receive_slowly))
        self.addCleanup(reader.stop)
        sender, _ = self.serve("sender", handlers(on_ready=on_link_ready))
        sender.call(lambda: sender.connect("reader", "127.0.0.1", port))
        self.assertTrue(ready.wait(10))
        for number in range(CHUNK_COUNT):
            opened[0].send(Chunk(1, number, 0, CHUNK_DATA))
        sender.stop()
        ended.wait(10)
        self.assertEqual(list(range(CHUNK_COUNT)), received)

    def test_incarnations_of_one_millisecond_differ_by_their_random_bits(self):
        first = links.new_incarnation(5.0, 1)
        self.assertNotEqual(first, links.new_incarnation(5.0, 2))
        self.assertGreater(links.new_incarnation(6.0, 0), first)
