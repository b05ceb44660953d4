"""`python -m bench capacity`: what control costs as the fleet grows."""

import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds this benchmark's arguments."""


def run(options: argparse.Namespace) -> int:
    """Runs the benchmark; returns the exit code."""
    del options
    return 1
