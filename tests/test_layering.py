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


# Names on the wire of the users' platform.
PLATFORM_NAMES = (
    "Attempt-Id",
    "Deadline-Ms",
    "Engine-Stamp",
    "Expect-Instance",
    "Not-Executed",
    "Prompt-Prefix",
    "Token-Counts",
    "api-keys",
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

    def test_only_one_folder_knows_the_platforms_names(self):
        for path in PACKAGE.rglob("*.py"):
            if path.parent.name in ("platform", "standin"):
                continue
            text = path.read_text().lower()
            found = [n for n in PLATFORM_NAMES if f'"{n.lower()}' in text]
            self.assertEqual([], found, path.name)

    def test_the_folder_stays_small(self):
        def count(folder):
            return sum(
                len(path.read_text().splitlines())
                for path in folder.rglob("*.py")
            )

        share = count(PACKAGE / "platform") / count(PACKAGE)
        self.assertLess(share, 0.15)

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
