"""The operators' page lists what the code has."""

import pathlib
import re
import tomllib

import testtools

from catkintrail import objects
from catkintrail import settings
from catkintrail import verdict
from catkintrail.adapters import metrics

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()


def setting_names(kind, prefix=""):
    for name, annotation in kind.__annotations__.items():
        if hasattr(annotation, "_fields"):
            yield from setting_names(annotation, f"{prefix}{name}.")
        else:
            yield prefix + name


class OperationsPageTests(testtools.TestCase):

    def listed(self, heading):
        section = PAGE.split(heading, 1)[1].split("\n## ", 1)[0]
        return set(re.findall(r"^\| `([^`]+)`", section, re.MULTILINE))

    def test_settings(self):
        self.assertEqual(
            set(setting_names(settings.EntrySettings)),
            self.listed("## Settings of an instance"),
        )

    def test_objects(self):
        fields = set(objects.ApiKey._fields)
        for kind in objects.KINDS.values():
            fields |= set(kind._fields)
        self.assertEqual(fields, self.listed("## Objects"))

    def test_metrics(self):
        self.assertEqual(set(metrics.DESCRIPTIONS), self.listed("## Metrics"))

    def test_refusals(self):
        reasons = {reason.value for reason in verdict.Reason}
        self.assertEqual(reasons, self.listed("## Refusals"))

    def test_log_events(self):
        events = set()
        for path in (ROOT / "catkintrail").rglob("*.py"):
            events |= set(
                re.findall(
                    r"(?:_LOG|_AUDIT)\.\w+\(\s*\"([^\"]+)\"", path.read_text()
                )
            )
        section = PAGE.split("## Logs", 1)[1].split("\n## ", 1)[0]
        named = set(re.findall(r"`([^`]+)`", section))
        self.assertEqual(set(), events - named)


class QuickStartTests(testtools.TestCase):

    def test_examples_are_right(self):
        for path in (ROOT / "examples").rglob("*.json"):
            if path.name.startswith("entry-"):
                settings.read_settings(str(path))


class RequirementsTests(testtools.TestCase):

    def test_the_users_platform_installs_what_the_package_declares(self):
        declared = tomllib.loads((ROOT / "pyproject.toml").read_text())
        installed = (ROOT / "deploy" / "requirements.txt").read_text()
        self.assertEqual(
            sorted(declared["project"]["dependencies"]),
            sorted(installed.split()),
        )
