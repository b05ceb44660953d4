"""Runs a benchmark: `python -m bench policy` or `python -m bench capacity`."""

import argparse
import sys

from bench import capacity
from bench import policy


def main() -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    commands = parser.add_subparsers(required=True)
    for name, module in (("policy", policy), ("capacity", capacity)):
        one = commands.add_parser(name, help=module.__doc__.splitlines()[0])
        module.add_arguments(one)
        one.set_defaults(function=module.run)
    options = parser.parse_args()
    return options.function(options)


if __name__ == "__main__":
    sys.exit(main())
