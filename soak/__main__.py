"""Command line of the soak."""

import argparse
import collections
import signal
import sys

from catkintrail import request_story
from soak import checks
from soak import run

SECONDS_PER_MINUTE = 60.0
# Of a violation's story.
MAX_LINES = 30


def main() -> int:
    """Plays runs; returns 1 where a promise was broken."""
    parser = argparse.ArgumentParser(
        prog="python -m soak",
        description="Play faults on relaying instances and check promises.",
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
    # The instances are ended, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    broken = 0
    for seed in range(options.seed, options.seed + options.count):
        result = run.play(
            run.Options(
                seed,
                options.minutes * SECONDS_PER_MINUTE,
                options.processes,
            ),
            options.folder,
        )
        _print(seed, options, result)
        broken += bool(result.violations)
    print(f"{broken} of {options.count} seeds broke a promise")
    return 1 if broken else 0


def _print(seed: int, options: argparse.Namespace, result: run.Result) -> None:
    history = result.history
    ends = collections.Counter(
        f"{sent.route} {sent.status}"
        + ("" if sent.is_whole or not sent.status else " cut")
        for sent in history.sent
    )
    print(
        f"seed {seed}: {len(history.sent)} requests,"
        f" {len(history.disturbances)} disturbances,"
        f" lag {max(history.lag_seconds, default=0.0):.2f} s,"
        f" {len(checks.find_long_deadlines(history))} long deadlines,"
        f" {len(result.violations)} violations"
    )
    print("  " + ", ".join(f"{k}: {v}" for k, v in sorted(ends.items())))
    for sent in checks.find_unserved_in_calm(history):
        print(f"  not served after the last fault: {sent.request_id}")
        _print_story(sent.request_id, result.lines)
    for violation in result.violations:
        print(
            f"  BROKEN {violation.promise}: {violation.subject}:"
            f" {violation.text}"
        )
        _print_story(violation.subject, result.lines)
    if result.violations:
        print(
            f"  repeat: python -m soak --seed {seed}"
            f" --minutes {options.minutes} --processes {options.processes}"
        )


def _print_story(request_id: str, lines: list[request_story.Line]) -> None:
    story = request_story.explain(request_id, lines)
    print("\n".join(f"    {line}" for line in story[:MAX_LINES]))


if __name__ == "__main__":
    sys.exit(main())
