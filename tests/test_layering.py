"""Checks dependencies between layers, and where the platform's names occur.

The core and the ports may not import adapters, clocks, sockets or threads.
"""

import ast
import pathlib

import testtools

PACKAGE = pathlib.Path(__file__).parent.parent / "catkintrail"
FORBIDDEN_IMPORTS = (
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


# Header, field and path names of the users' platform.
PLATFORM_NAMES = (
    "Attempt-Id",
    "Deadline-Ms",
    "Engine-Stamp",
    "Expect-Instance",
    "Not-Executed",
    "Prompt-Prefix",
    "Token-Counts",
    "api-keys",
    "cold-left-ms",
    "cold-ms",
    "cold-per-s",
    "evacuate-ms",
    "goal-ms",
    "max-attempts",
    "path-prefix",
    "revoke-ms",
    "tenants",
    "/api/objects",
    "/api/order",
    "/api/ready",
)


class LayeringTests(testtools.TestCase):

    def test_platform_names_occur_only_in_the_platform_package(self):
        for path in PACKAGE.rglob("*.py"):
            if path.parent.name in ("platform", "standin"):
                continue
            text = path.read_text().lower()
            found = [n for n in PLATFORM_NAMES if f'"{n.lower()}' in text]
            self.assertEqual([], found, path.name)

    def test_platform_package_stays_small(self):
        def count_lines(folder):
            return sum(
                len(path.read_text().splitlines())
                for path in folder.rglob("*.py")
            )

        share = count_lines(PACKAGE / "platform") / count_lines(PACKAGE)
        self.assertLess(share, 0.15)

    def test_core_and_ports_import_only_inward(self):
        for folder in ("core", "ports"):
            for path in (PACKAGE / folder).rglob("*.py"):
                for name in imported_names(path):
                    forbidden = [
                        module
                        for module in FORBIDDEN_IMPORTS
                        if name == module or name.startswith(module + ".")
                    ]
                    self.assertEqual(
                        [], forbidden, f"{path.name} imports {name}"
                    )
