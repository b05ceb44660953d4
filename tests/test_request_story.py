"""Explanations and reports from logs."""

import contextlib
import io
import json
import tempfile

import testtools

from catkintrail import cli
from catkintrail import request_story

REASON = "sent 2 times: e-2: the target is silent"


def line(second, event, request_id="r1", instance="a-1", **fields):
    return {
        "time": f"2026-01-01T00:00:{second:06.3f}+00:00",
        "event": event,
        "instance": instance,
        "availability_zone": "za",
        "request_id": request_id,
        **fields,
    }


LINES = [
    line(1.0, "target_joined", "", target="e-2"),
    line(7.0, "target_ejected", "", target="e-2", is_silent=True),
    line(7.5, "target_ejected", "", target="e-9", is_silent=True),
    line(8.0, "store_lost", "", instance="b-1", reason="other instance"),
    line(8.5, "store_lost", "", reason="no answer"),
    line(9.0, "request_placed", target="e-1", prompt_tokens=200_000, send=1),
    line(9.1, "request_placed", "r2", target="e-1", prompt_tokens=10, send=1),
    line(9.5, "send_failed", target="e-1", at_fault="e-2", verdict="not_run"),
    line(
        10.0,
        "request_ended",
        outcome="refused",
        verdict="not_run",
        cause="target_failed",
        reason=REASON,
        status=503,
        elapsed_ms=1000.0,
    ),
    line(
        11.0,
        "request_ended",
        "r2",
        outcome="answered",
        elapsed_ms=50.0,
        first_event_ms=21.4,
    ),
]


class ExplainTests(testtools.TestCase):

    def test_lines_come_in_order_with_a_conclusion(self):
        told = request_story.explain("r1", LINES)
        self.assertIn("request_placed target=e-1", told[0])
        self.assertIn("send_failed", told[1])
        self.assertEqual(
            "It ended as refused with 503: target_failed: "
            f"{REASON}. At fault: e-2. Verdict: not_run.",
            told[-1],
        )

    def test_only_what_concerns_the_request_is_told(self):
        told = "\n".join(request_story.explain("r1", LINES))
        self.assertIn("target_ejected target=e-2", told)
        self.assertIn("reason=no answer", told)
        for absent in ("e-9", "other instance", "target_joined"):
            self.assertNotIn(absent, told)

    def test_request_without_an_end(self):
        told = request_story.explain("r1", LINES[:6])
        self.assertIn("It has no end", told[-1])

    def test_unknown_request(self):
        self.assertIn("no line", request_story.explain("r9", LINES)[0])

    def test_other_lines_are_skipped(self):
        texts = [json.dumps(found) for found in LINES]
        torn = ["", "Traceback", '{"event": "x"}', "[1]", texts[0][:20]]
        self.assertEqual(
            LINES, request_story.read_lines([texts[5:] + torn, texts[:5]])
        )


class ReportTests(testtools.TestCase):

    def test_ends_causes_and_first_tokens(self):
        found = request_story.report(LINES)
        self.assertEqual({"refused": 1, "answered": 1}, found.outcomes)
        self.assertEqual({("refused", "target_failed", 503): 1}, found.causes)
        self.assertEqual(
            ("up to 8000", 1, [21, 21, 21]), found.first_token_ms[0]
        )
        self.assertEqual(0, found.first_token_ms[2][1])


class CommandTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.path = self.make_log()

    def make_log(self):
        # pylint: disable-next=consider-using-with
        file = tempfile.NamedTemporaryFile("w", suffix=".log")
        self.addCleanup(file.close)
        file.write("\n".join(json.dumps(found) for found in LINES))
        file.flush()
        return file.name

    def run_command(self, *arguments):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = cli.main(list(arguments))
        return code, output.getvalue()

    def test_explain(self):
        code, output = self.run_command("explain", "r1", self.path)
        self.assertEqual(cli.OK, code)
        self.assertIn("Verdict: not_run.", output)

    def test_explain_of_an_unknown_request_fails(self):
        code, _ = self.run_command("explain", "r9", self.path)
        self.assertEqual(cli.FAILED, code)

    def test_report(self):
        code, output = self.run_command("report", self.path)
        self.assertEqual(cli.OK, code)
        self.assertIn("refused 503 target_failed: 1", output)
        self.assertIn("up to 8000", output)

    def test_log_that_is_not_there(self):
        code, _ = self.run_command("report", "/nowhere/a.log")
        self.assertEqual(cli.MISTAKES, code)
