"""Tests of the command line: exit codes and error messages."""

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from catkintrail import cli
from tests import platform_standins
from tests import processes


def run_cli(*arguments):
    """Runs the command line; returns exit code, output and error output."""
    stdout, stderr = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(stdout), contextlib.redirect_stderr(stderr):
        try:
            code = cli.main(list(arguments))
        except SystemExit as exit_request:
            code = exit_request.code
    return code, stdout.getvalue(), stderr.getvalue()


class MainTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def write_file(self, data):
        path = pathlib.Path(self.folder.name) / "file.json"
        path.write_text(data if isinstance(data, str) else json.dumps(data))
        return str(path)

    def test_every_command_has_help(self):
        commands = [
            ["entry"],
            ["explain"],
            ["report"],
            ["check"],
            ["load"],
            ["admin"],
            ["standin"],
            *(
                ["admin", name]
                for name in (
                    "get",
                    "apply",
                    "diff",
                    "delete",
                    "history",
                    "status",
                    "drain",
                )
            ),
            *(["standin", name] for name in ("platform", "engine", "service")),
        ]
        for command in commands:
            code, stdout, _ = run_cli(*command, "--help")
            self.assertEqual(0, code)
            self.assertIn("usage:", stdout)

    def test_check_of_valid_objects(self):
        code, stdout, _ = run_cli("check", self.write_file(processes.OBJECTS))
        self.assertEqual(0, code)
        self.assertIn("2 organisations, 1 models", stdout)

    def test_check_lists_all_mistakes(self):
        data = {
            "routes": {"a": {"model": "gone"}, "b": {"service": "gone"}},
            "services": {"s": {"call_second": 1}},
        }
        code, _, stderr = run_cli("check", self.write_file(data))
        self.assertEqual(2, code)
        self.assertEqual(3, len(stderr.splitlines()))
        self.assertIn("did you mean 'call_seconds'", stderr)

    def test_check_of_relay_settings(self):
        path = pathlib.Path(self.folder.name) / "settings.toml"
        ports = dict.fromkeys(platform_standins.PORT_NAMES, 7000)
        text = platform_standins.make_settings(
            "a", "10.0.0.1", ports, (), "10.9.9.9:80"
        )
        path.write_text(text)
        self.assertEqual(cli.OK, run_cli("check", str(path))[0])
        path.write_text(text.replace("node =", "other ="))
        code, _, stderr = run_cli("check", str(path))
        self.assertEqual(cli.INVALID_INPUT, code)
        self.assertIn("node", stderr)

    def test_check_of_invalid_json(self):
        code, _, stderr = run_cli("check", self.write_file("{nonsense"))
        self.assertEqual((2, 1), (code, len(stderr.splitlines())))

    def test_unreachable_instance(self):
        port = processes.free_ports(1)[0]
        url = f"http://127.0.0.1:{port}"
        for command in (["get"], ["history"], ["status"], ["drain"]):
            code, _, stderr = run_cli("admin", *command, "--url", url)
            self.assertEqual(3, code)
            self.assertIn("does not answer", stderr)

    def test_unknown_command(self):
        self.assertEqual(2, run_cli("serve")[0])
