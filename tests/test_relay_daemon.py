"""Tests of the threads of a relaying instance."""

import threading
import time
from unittest import mock

import pykka
import testtools

from catkintrail import relay_daemon
from catkintrail.adapters import router_client


class TickTests(testtools.TestCase):

    def test_suspended_process_goes_on_with_its_ticks(self):
        # Guards against an instance without heartbeats after a long pause.
        calls = []

        def status():
            calls.append(None)
            if len(calls) == 1:
                raise pykka.Timeout("5 seconds")
            return mock.MagicMock(version=-1, peers=())

        instance = relay_daemon.RelayInstance.__new__(
            relay_daemon.RelayInstance
        )
        instance.router = mock.create_autospec(
            router_client.RouterClient, instance=True
        )
        instance.router.proxy = mock.MagicMock()
        instance.router.status.side_effect = status
        instance.client = mock.MagicMock()
        instance.callers = mock.MagicMock()
        instance.connector = mock.MagicMock()
        instance._applied_version = -1
        instance._services = {}
        with mock.patch.object(threading, "excepthook"):
            threading.Thread(target=instance._run_ticks, daemon=True).start()
            time.sleep(0.6)
        self.assertGreater(len(calls), 1)
