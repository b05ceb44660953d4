"""Settings of Hypothesis, and the tests that KNOWN-RED.txt passes over."""

import pathlib

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("fixed")

ROOT = pathlib.Path(__file__).parent.parent


def known_red():
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {
        line.split()[0].rstrip(",")
        for line in lines
        if line.strip() and not line.startswith("#")
    }


def pytest_collection_modifyitems(items):
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))
