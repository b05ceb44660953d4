import testtools

from catkintrail import errors
from catkintrail.platform import store
from tests import platform_standins


class StoreSourceTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.store = platform_standins.Store()
        self.addCleanup(self.store.close)
        self.client = store.StoreClient(self.store.address)
        self.source = store.StoreSource(self.client)

    def put_target(self, name, **changes):
        spec = {
            "service": "engines",
            "address": "10.0.0.9:80",
            "zone": "za",
            "slots": 8,
            "state": "ready",
            **changes,
        }
        self.store.put("servers", name, spec)

    def test_configuration_is_read_and_watched(self):
        self.assertIsNone(self.source.read_configuration().configuration)
        self.store.put("config", "main", platform_standins.make_spec(3))
        reading = self.source.read_configuration()
        self.assertEqual(3, reading.configuration.version)
        self.store.put("config", "main", platform_standins.make_spec(5))
        update = self.source.watch_configuration(reading.revision, 1.0)
        self.assertEqual(5, update.configuration.version)
        no_change = self.source.watch_configuration(update.revision, 0.1)
        self.assertIsNone(no_change.configuration)

    def test_list_reads_all_pages(self):
        self.store.page_size = 2
        for number in range(5):
            self.put_target(f"i-{number}")
        reading = self.source.list_targets()
        self.assertEqual(
            [f"i-{number}" for number in range(5)],
            [event.name for event in reading.events],
        )

    def test_invalid_entries_have_no_target(self):
        self.put_target("i-1", state="odd")
        self.put_target("i-2")
        targets = [event.target for event in self.source.list_targets().events]
        self.assertEqual([True, False], [target is None for target in targets])

    def test_removal_is_reported(self):
        self.put_target("i-1")
        reading = self.source.list_targets()
        self.store.remove("servers", "i-1")
        update = self.source.watch_targets(reading.revision, 1.0)
        self.assertEqual(
            [("i-1", True)], [(e.name, e.is_removed) for e in update.events]
        )

    def test_discarded_history_raises_history_expired_error(self):
        self.store.discard_history()
        self.assertRaises(
            errors.HistoryExpiredError, self.source.watch_targets, 1, 0.1
        )

    def test_failing_store_raises_platform_unavailable_error(self):
        for status in (429, 503):
            self.store.status = status
            self.assertRaises(
                errors.PlatformUnavailableError, self.source.list_targets
            )
        self.store.close()
        self.client.http.close()
        self.assertRaises(
            errors.PlatformUnavailableError, self.source.list_targets
        )
