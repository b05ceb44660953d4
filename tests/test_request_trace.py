"""Tests of the `explain` and `report` commands and their log analysis."""

import contextlib
import io
import json
import tempfile
import tracemalloc

import testtools

from catkintrail import cli
from catkintrail import request_trace

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

    def test_lines_are_in_order_and_followed_by_the_outcome(self):
        output = request_trace.explain("r1", LINES)
        self.assertIn("request_placed target=e-1", output[0])
        self.assertIn("send_failed", output[1])
        self.assertEqual(
            "The request ended as refused with status 503: target_failed: "
            f"{REASON}. At fault: e-2. Verdict: not_run.",
            output[-1],
        )

    def test_unrelated_events_are_left_out(self):
        output = "\n".join(request_trace.explain("r1", LINES))
        self.assertIn("target_ejected target=e-2", output)
        self.assertIn("reason=no answer", output)
        for absent in ("e-9", "other instance", "target_joined"):
            self.assertNotIn(absent, output)

    def test_request_without_an_end(self):
        output = request_trace.explain("r1", LINES[:6])
        self.assertIn("The request has no end", output[-1])

    def test_unknown_request(self):
        self.assertIn("no line", request_trace.explain("r9", LINES)[0])

    def test_other_lines_are_skipped(self):
        texts = [json.dumps(record) for record in LINES]
        unreadable = ["", "Traceback", '{"event": "x"}', "[1]", texts[0][:20]]
        parsed = request_trace.parse_lines(texts[:5] + unreadable + texts[5:])
        self.assertEqual(LINES, list(parsed))

    def test_lines_of_several_logs_are_explained_in_order_of_time(self):
        self.assertEqual(
            request_trace.explain("r1", LINES),
            request_trace.explain("r1", LINES[5:] + LINES[:5]),
        )


class ReportTests(testtools.TestCase):

    def test_outcomes_causes_and_times_to_first_token(self):
        summary = request_trace.report(LINES)
        self.assertEqual({"refused": 1, "answered": 1}, summary.outcomes)
        self.assertEqual({("refused", "target_failed", 503): 1}, summary.causes)
        self.assertEqual(
            ("up to 8000", 1, [21, 21, 21]), summary.first_token_ms[0]
        )
        self.assertEqual(0, summary.first_token_ms[2][1])


class FleetSummaryTests(testtools.TestCase):

    def test_slow_targets_with_who_suspected_them_and_since_when(self):
        lines = [
            line(3.0, "target_slow", "", "b-1", target="e-1", slowness=2.5),
            line(2.0, "target_slow", "", "a-1", target="e-1", slowness=4.0),
            line(9.0, "target_fast", "", "a-1", target="e-1"),
            line(4.0, "target_slow", "", "a-1", target="e-2", slowness=1.6),
            line(8.0, "target_fast", "", "a-1", target="e-2"),
        ]
        first, second = request_trace.report(lines).slow_targets
        self.assertEqual(("e-1", 4.0, False), (first[0], first[3], first[5]))
        self.assertEqual(("a-1", "b-1"), first.instances)
        self.assertEqual(lines[1]["time"], first.first)
        self.assertTrue(second.is_recovered)

    def test_slow_target_is_shown_with_the_times_it_was_known_by(self):
        times = {"basis": "run_times", "usual_ms": 301.0, "normal_ms": 99.5}
        lines = [
            line(1.0, "target_slow", "", "a-1", target="d-1", **times),
            line(2.0, "target_fast", "", "a-1", target="d-1"),
        ]
        (slow,) = request_trace.report(lines).slow_targets
        self.assertEqual("run times of 301.0 ms, normally 99.5 ms", slow.basis)

    def test_targets_that_slow_down_before_they_are_full(self):
        fields = {"target": "d-1", "comfortable": 4.0, "strain": 3.1}
        lines = [
            line(1.0, "target_strained", "", "a-1", **fields),
            line(4.0, "target_relieved", "", "a-1", target="d-1"),
        ]
        (strained,) = request_trace.report(lines).strained_targets
        self.assertEqual(4.0, strained.min_requests)
        self.assertEqual(3.1, strained.max_strain)
        self.assertTrue(strained.is_relieved)

    def test_versions_in_force_by_zone(self):
        lines = [
            line(1.0, "configuration_in_force", "", "a-1", version=3),
            line(2.0, "configuration_in_force", "", "a-1", version=5),
            line(2.0, "configuration_in_force", "", "a-2", version=3),
        ]
        self.assertEqual(
            {("za", 5): 1, ("za", 3): 1}, request_trace.report(lines).versions
        )

    def test_lines_are_not_kept(self):
        # The logs of a large fleet are longer than the memory.
        def generate():
            for number in range(200_000):
                key = f"r{number}"
                yield line(1.0, "request_placed", key, prompt_tokens=10)
                yield line(
                    1.1, "request_ended", key, outcome="answered", status=200
                )

        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        summary = request_trace.report(generate())
        _, peak = tracemalloc.get_traced_memory()
        self.assertEqual({"answered": 200_000}, summary.outcomes)
        self.assertLess(peak, 8 << 20)


class CommandTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.path = self.make_log()

    def make_log(self):
        # pylint: disable-next=consider-using-with
        file = tempfile.NamedTemporaryFile("w", suffix=".log")
        self.addCleanup(file.close)
        file.write("\n".join(json.dumps(record) for record in LINES))
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

    def test_missing_log_file_is_reported(self):
        code, _ = self.run_command("report", "/nowhere/a.log")
        self.assertEqual(cli.INVALID_INPUT, code)
