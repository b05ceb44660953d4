"""The core imports no adapter, clock, socket or thread."""

import ast
import pathlib

import testtools

PACKAGE = pathlib.Path(__file__).parent.parent / "catkintrail"
FORBIDDEN = (
    "time",
    "socket",
    "threading",
    "asyncio",
    "queue",
    "pykka",
    "urllib3",
    "cheroot",
    "catkintrail.adapters",
    "catkintrail.standin",
    "catkintrail.daemon",
)


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


class LayeringTests(testtools.TestCase):

    def test_core_and_ports_import_only_inward(self):
        for folder in ("core", "ports"):
            for path in (PACKAGE / folder).glob("*.py"):
                for name in imported_names(path):
                    bad = [
                        f
                        for f in FORBIDDEN
                        if name == f or name.startswith(f + ".")
                    ]
                    self.assertEqual([], bad, f"{path.name} imports {name}")
