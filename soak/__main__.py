"""Command line of the soak test."""

import argparse
import collections
import signal
import sys

from catkintrail import request_trace
from soak import checks
from soak import run

SECONDS_PER_MINUTE = 60.0
# Log lines printed for one request.
MAX_EXPLANATION_LINES = 30


def main() -> int:
    """Runs the soak test for each seed; returns 1 if a check failed."""
    parser = argparse.ArgumentParser(
        prog="python -m soak",
        description=(
            "Inject faults into relaying instances and check guarantees."
        ),
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument(
        "--processes", type=int, default=6, help="relaying instances"
    )
    parser.add_argument(
        "--folder", default="", help="keep the instances' logs here"
    )
    options = parser.parse_args()
    # Raises SystemExit on SIGTERM, so that the instances are stopped too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed_seeds = 0
    for seed in range(options.seed, options.seed + options.count):
        result = run.run_soak(
            run.Options(
                seed,
                options.minutes * SECONDS_PER_MINUTE,
                options.processes,
            ),
            options.folder,
        )
        _print_result(seed, options, result)
        failed_seeds += bool(result.violations)
    print(f"{failed_seeds} of {options.count} seeds with violations")
    return 1 if failed_seeds else 0


def _print_result(
    seed: int, options: argparse.Namespace, result: run.Result
) -> None:
    history = result.history
    outcomes = collections.Counter(
        f"{sent.route} {sent.status}"
        + ("" if sent.is_complete or not sent.status else " cut")
        for sent in history.sent
    )
    print(
        f"seed {seed}: {len(history.sent)} requests,"
        f" {len(history.fault_intervals)} fault intervals,"
        f" lag {max(history.lag_seconds, default=0.0):.2f} s,"
        f" {len(checks.find_long_deadlines(history))} long deadlines,"
        f" {len(history.cut_responses)} responses cut by targets,"
        f" {len(result.violations)} violations"
    )
    print("  " + ", ".join(f"{k}: {v}" for k, v in sorted(outcomes.items())))
    for sent in checks.find_unserved_after_recovery(history):
        print(f"  not served after the last fault: {sent.request_id}")
        _print_explanation(sent.request_id, result.log_lines)
    for violation in result.violations:
        print(
            f"  VIOLATION {violation.check_name}: {violation.subject}:"
            f" {violation.text}"
        )
        _print_explanation(violation.subject, result.log_lines)
    if result.violations:
        print(
            f"  repeat: python -m soak --seed {seed}"
            f" --minutes {options.minutes} --processes {options.processes}"
        )


def _print_explanation(
    request_id: str, log_lines: list[request_trace.Line]
) -> None:
    explanation = request_trace.explain(request_id, log_lines)
    print(
        "\n".join(f"    {line}" for line in explanation[:MAX_EXPLANATION_LINES])
    )


if __name__ == "__main__":
    sys.exit(main())
