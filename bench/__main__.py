"""Runs a benchmark: `python -m bench policy`, `capacity` or `speed`."""

import argparse
import sys

from bench import capacity
from bench import policy
from bench import target_speed


def main() -> int:
    """Parses the command line and runs a benchmark; returns its exit code."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    commands = parser.add_subparsers(required=True)
    for name, module in (
        ("policy", policy),
        ("capacity", capacity),
        ("speed", target_speed),
    ):
        command = commands.add_parser(name, help=module.__doc__.splitlines()[0])
        module.add_arguments(command)
        command.set_defaults(function=module.run)
    options = parser.parse_args()
    return options.function(options)


if __name__ == "__main__":
    sys.exit(main())
