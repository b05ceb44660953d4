"""Checks that documentation, examples and requirements match the code."""

import pathlib
import re
import tomllib

import testtools

from catkintrail import objects
from catkintrail import settings
from catkintrail import verdict
from catkintrail.adapters import metrics

ROOT = pathlib.Path(__file__).parent.parent
OPERATIONS_PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()


def setting_names(record_type, prefix=""):
    """Yields the dotted names of all settings of a NamedTuple type."""
    for name, annotation in record_type.__annotations__.items():
        if hasattr(annotation, "_fields"):
            yield from setting_names(annotation, f"{prefix}{name}.")
        else:
            yield prefix + name


class OperationsPageTests(testtools.TestCase):

    def read_table_names(self, heading):
        """Returns the names in the first column of a section's tables."""
        section = OPERATIONS_PAGE.split(heading, 1)[1].split("\n## ", 1)[0]
        return set(re.findall(r"^\| `([^`]+)`", section, re.MULTILINE))

    def test_settings(self):
        self.assertEqual(
            set(setting_names(settings.EntrySettings)),
            self.read_table_names("## Settings of an instance"),
        )

    def test_objects(self):
        fields = set(objects.ApiKey._fields)
        for record_type in objects.KINDS.values():
            fields |= set(record_type._fields)
        self.assertEqual(fields, self.read_table_names("## Objects"))

    def test_metrics(self):
        self.assertEqual(
            set(metrics.DESCRIPTIONS), self.read_table_names("## Metrics")
        )

    def test_refusals(self):
        reasons = {reason.value for reason in verdict.Reason}
        self.assertEqual(reasons, self.read_table_names("## Refusals"))

    def test_log_events(self):
        events = set()
        for path in (ROOT / "catkintrail").rglob("*.py"):
            events |= set(
                re.findall(
                    r"(?:_LOG|_AUDIT)\.\w+\(\s*\"([^\"]+)\"", path.read_text()
                )
            )
        section = OPERATIONS_PAGE.split("## Logs", 1)[1].split("\n## ", 1)[0]
        documented = set(re.findall(r"`([^`]+)`", section))
        self.assertEqual(set(), events - documented)


class QuickStartTests(testtools.TestCase):

    def test_example_settings_are_valid(self):
        for path in (ROOT / "examples").rglob("*.json"):
            if path.name.startswith("entry-"):
                settings.read_settings(str(path))


class RequirementsTests(testtools.TestCase):

    def test_deployment_requirements_match_package(self):
        declared = tomllib.loads((ROOT / "pyproject.toml").read_text())
        installed = (ROOT / "deploy" / "requirements.txt").read_text()
        self.assertEqual(
            sorted(declared["project"]["dependencies"]),
            sorted(installed.split()),
        )
