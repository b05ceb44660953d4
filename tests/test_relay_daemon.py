"""Tests of the threads of a relaying instance."""

import threading
import time
from unittest import mock

import pykka
import testtools

from catkintrail import relay_daemon
from catkintrail.adapters import clock
from catkintrail.adapters import router_actor
from catkintrail.adapters import router_client
from catkintrail.core import route_table
from tests import processes
from tests import relaying


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
        instance._services = {}
        with mock.patch.object(threading, "excepthook"):
            threading.Thread(target=instance._run_ticks, daemon=True).start()
            time.sleep(0.6)
        self.assertGreater(len(calls), 1)


class ConfigurationTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        ports = processes.free_ports(2)
        settings = relaying.make_settings(
            address="127.0.0.1",
            caller_address=f"127.0.0.1:{ports[0]}",
            datagram_port=ports[1],
        )
        self.instance = relay_daemon.RelayInstance(
            settings, "", mock.MagicMock()
        )
        self.addCleanup(self.instance.actor.stop)

    def update(self, configuration):
        proxy = self.instance.router.proxy
        proxy.update_configuration(
            configuration, clock.boot_seconds(), router_actor.STORE_SOURCE
        ).get(timeout=5.0)

    def test_configuration_is_applied_before_the_first_tick(self):
        # Guards against requests that are served by default limits, and by
        # engines that are taken for plain services, after a start.
        limits = route_table.CallerLimits(max_body_bytes=8 << 20)
        configuration = relaying.make_configuration(1)
        self.update(configuration._replace(limits=limits))
        self.assertEqual(limits, self.instance.callers.limits)
        self.assertEqual({"engines"}, self.instance.client.engine_services)
        self.assertEqual(
            configuration.organisations, self.instance.callers.organisations
        )

    def test_older_configuration_is_not_applied(self):
        self.update(relaying.make_configuration(2))
        self.update(relaying.make_configuration(1, keys=("old",)))
        self.assertEqual({"key-1"}, set(self.instance.callers.organisations))
