"""Starts a relaying instance: sets signal handlers, then imports the rest."""

import gc
import signal
import sys

__all__ = ["main"]


def main() -> int:
    """Runs an instance until SIGTERM."""
    # SIGHUP announces a change of the settings file. The file is polled, so the
    # signal is not needed, but its default action would end the process. It
    # may arrive at any time, also while slow modules are still being imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create over 50,000 objects that live as long as the process.
    # Collecting garbage among them takes a sixth of the time of the imports;
    # later collections pass over what is frozen.
    gc.disable()
    # pylint: disable-next=import-outside-toplevel
    from catkintrail import relay_daemon

    gc.freeze()
    gc.enable()
    return relay_daemon.run()


if __name__ == "__main__":
    sys.exit(main())
