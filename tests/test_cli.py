"""The command line: exit codes and one clear line for each mistake."""

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from catkintrail import cli
from tests import platform_standins
from tests import processes


def run(*arguments):
    """Returns the exit code and what was printed."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = cli.main(list(arguments))
        except SystemExit as end:
            code = end.code
    return code, out.getvalue(), err.getvalue()


class MainTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def write(self, data):
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
            code, out, _ = run(*command, "--help")
            self.assertEqual(0, code)
            self.assertIn("usage:", out)

    def test_check_of_right_objects(self):
        code, out, _ = run("check", self.write(processes.OBJECTS))
        self.assertEqual(0, code)
        self.assertIn("2 organisations, 1 models", out)

    def test_check_lists_all_mistakes(self):
        data = {
            "routes": {"a": {"model": "gone"}, "b": {"service": "gone"}},
            "services": {"s": {"call_second": 1}},
        }
        code, _, err = run("check", self.write(data))
        self.assertEqual(2, code)
        self.assertEqual(3, len(err.splitlines()))
        self.assertIn("did you mean 'call_seconds'", err)

    def test_check_of_a_relaying_instances_settings(self):
        path = pathlib.Path(self.folder.name) / "settings.toml"
        ports = dict.fromkeys(platform_standins.PORT_NAMES, 7000)
        text = platform_standins.make_settings(
            "a", "10.0.0.1", ports, (), "10.9.9.9:80"
        )
        path.write_text(text)
        self.assertEqual(cli.OK, run("check", str(path))[0])
        path.write_text(text.replace("node =", "other ="))
        code, _, complaint = run("check", str(path))
        self.assertEqual(cli.MISTAKES, code)
        self.assertIn("node", complaint)

    def test_check_of_no_json(self):
        code, _, err = run("check", self.write("{nonsense"))
        self.assertEqual((2, 1), (code, len(err.splitlines())))

    def test_instance_that_does_not_answer(self):
        port = processes.free_ports(1)[0]
        url = f"http://127.0.0.1:{port}"
        for command in (["get"], ["history"], ["status"], ["drain"]):
            code, _, err = run("admin", *command, "--url", url)
            self.assertEqual(3, code)
            self.assertIn("does not answer", err)

    def test_unknown_command(self):
        self.assertEqual(2, run("serve")[0])
