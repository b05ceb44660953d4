"""Tests of what an instance loads when it starts."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

import testtools

from catkintrail import relay_metrics

ROOT = pathlib.Path(__file__).parent.parent
COUNT_COMPILED = """
import sys
compiled = []
def record(event, arguments):
    if event == "compile" and "catkintrail" in str(arguments[1]):
        compiled.append(arguments[1])
sys.addaudithook(record)
from catkintrail import relay_daemon
assert relay_daemon.__file__.startswith({folder!r}), relay_daemon.__file__
print(len(compiled))
"""
COUNT_COLLECTIONS = """
import gc
from catkintrail import errors
from catkintrail import relay_start
def count():
    return sum(generation["collections"] for generation in gc.get_stats())
before = count()
try:
    relay_start.main()
except errors.CheckError:
    print(count() - before, gc.get_freeze_count(), gc.isenabled())
"""
# Modules that no request needs.
LATE_MODULES = {
    "aioprometheus",
    "asyncio",
    "json5",
    "orjson",
}
PRINT_MODULES = """
import sys
from catkintrail import relay_daemon
print(*sys.modules)
"""


def run_python(code, folder=ROOT):
    """Returns what a new interpreter prints, which may write no bytecode."""
    environment = {
        **os.environ,
        "PYTHONDONTWRITEBYTECODE": "1",
        # Ends a start after the imports.
        "CATKINTRAIL_BOOT": "/dev/null/settings.toml",
    }
    environment.pop("PYTHONPYCACHEPREFIX", None)
    return subprocess.run(
        [sys.executable, "-c", code],
        cwd=folder,
        env=environment,
        check=True,
        capture_output=True,
        text=True,
    ).stdout


class BuildTests(testtools.TestCase):

    def test_instances_start_from_bytecode_of_the_build(self):
        # Instances without a writable disk compiled 70 modules at each start,
        # which took a third of the start's processor time.
        path = ROOT / "deploy" / "system.toml"
        build = tomllib.loads(path.read_text(encoding="utf-8"))["build"]
        _, _, compilation = build.rpartition("&&")
        with tempfile.TemporaryDirectory() as folder:
            shutil.copytree(
                ROOT / "catkintrail",
                pathlib.Path(folder) / "catkintrail",
                ignore=shutil.ignore_patterns("__pycache__"),
            )
            code = COUNT_COMPILED.format(folder=folder)
            self.assertLess(60, int(run_python(code, folder)))
            command = compilation.replace("python3", sys.executable)
            subprocess.run(command, shell=True, cwd=folder, check=True)
            # A copy of the build may have other modification times.
            for source in pathlib.Path(folder).rglob("*.py"):
                os.utime(source, (1, 1))
            self.assertEqual(0, int(run_python(code, folder)))


class ImportTests(testtools.TestCase):

    def test_garbage_is_not_collected_among_imported_objects(self):
        # The imports triggered some 60 collections, which took a sixth of
        # their time, and found nothing to free.
        printed = run_python(COUNT_COLLECTIONS).split()
        collections, frozen, is_enabled = printed
        self.assertLess(int(collections), 5)
        self.assertLess(20_000, int(frozen))
        self.assertEqual("True", is_enabled)

    def test_modules_that_no_request_needs_are_loaded_later(self):
        # Loading them took a tenth of the time until callers were served.
        loaded = set(run_python(PRINT_MODULES).split())
        self.assertIn("catkintrail.relay", loaded)
        self.assertEqual(set(), loaded & LATE_MODULES)


class MetricsTests(testtools.TestCase):

    def test_requests_before_the_library_is_loaded_are_counted(self):
        metrics = relay_metrics.RelayMetrics()
        metrics.record_send("answered")
        metrics.record_first_event(0.1)
        metrics.record_request("answered", 0.2)
        metrics.load()
        metrics.record_request("answered", 0.2)
        body, _ = metrics.render({"catkintrail_peers": 2}, {}, "")
        text = body.decode()
        for line in (
            'catkintrail_relayed_total{outcome="answered"} 2',
            'catkintrail_sends_total{outcome="answered"} 1',
            "catkintrail_first_token_seconds_count 1",
            "catkintrail_peers 2",
        ):
            self.assertIn(line, text)
