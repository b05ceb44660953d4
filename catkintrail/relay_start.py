"""Starts a relaying instance: signals first, then what takes long to load."""

import signal
import sys

__all__ = ["main"]


def main() -> int:
    """Runs an instance until SIGTERM."""
    # The settings file is read again whenever it has changed. The signal that
    # says so may come at any time, and would end a process that still starts.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # pylint: disable-next=import-outside-toplevel
    from catkintrail import relay_daemon

    return relay_daemon.run()


if __name__ == "__main__":
    sys.exit(main())
