"""Tests of logging to a stream whose reader may be slow."""

import io
import logging
import threading

import testtools

from catkintrail.adapters import logs


class BlockedStream(io.StringIO):
    """A stream whose reader has stopped until `released` is set."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(10.0)
        return super().write(text)


class StoppedReaderTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(setattr, root, "handlers", root.handlers[:])
        self.stream = BlockedStream()
        self.addCleanup(self.stream.released.set)
        _, self.listener = logs.configure_queued("info", "i", "z", self.stream)

    def check_stop(self):
        stopped = threading.Event()

        def stop():
            self.listener.stop()
            stopped.set()

        threading.Thread(target=stop, daemon=True).start()
        self.assertTrue(stopped.wait(1.0))

    def test_stop_does_not_wait_for_the_reader(self):
        # Guards against a process that does not exit.
        logging.getLogger("catkintrail").info("line")
        self.check_stop()

    def test_stop_does_not_wait_for_the_reader_of_a_full_queue(self):
        # Guards against a process that does not exit.
        for _ in range(logs.MAX_QUEUED_LINES + 10):
            logging.getLogger("catkintrail").info("line")
        self.check_stop()

    def test_stop_writes_the_queued_lines(self):
        for _ in range(100):
            logging.getLogger("catkintrail").info("line")
        self.stream.released.set()
        self.listener.stop()
        self.assertEqual(100, self.stream.getvalue().count('"line"'))
