import logging
import os

import testtools

from dotterelplank import logsink


class BoundedHandlerTests(testtools.TestCase):
    def _handler(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        os.set_blocking(writing, False)
        return logsink.BoundedHandler(writing), reading

    def _emit(self, handler, text):
        handler.emit(logging.LogRecord("x", logging.INFO, "", 0, text, None, None))

    def test_flush_writes_lines_in_order(self):
        handler, reading = self._handler()
        self._emit(handler, "one")
        self._emit(handler, "two")
        handler.flush()
        self.assertEqual(b"one\ntwo\n", os.read(reading, 100))

    def test_lines_are_dropped_without_blocking_if_the_reader_is_slow(self):
        handler, reading = self._handler()
        for _ in range(logsink.MAX_BUFFERED_LINES + 7):
            self._emit(handler, "x" * 500)
        handler.flush()
        self.assertEqual(7, handler.take_dropped())
        self.assertEqual(0, handler.take_dropped())
        self.assertEqual(b"x" * 500 + b"\n", os.read(reading, 501))
