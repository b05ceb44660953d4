"""Starts a relaying instance.

Sets signal handlers and opens the port of the readiness check, then imports the
rest.
"""

import gc
import signal
import socket
import sys

from catkintrail import errors
from catkintrail.platform import boot

__all__ = ["main"]


def main() -> int:
    """Runs an instance until SIGTERM."""
    # SIGHUP announces a change of the settings file. The file is polled, so the
    # signal is not needed, but its default action would end the process. It
    # may arrive at any time, also while slow modules are still being imported.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    ready_listener = _open_ready_port()
    # Imports create over 50,000 objects that live as long as the process.
    # Collecting garbage among them takes a sixth of the time of the imports;
    # later collections pass over what is frozen.
    gc.disable()
    # pylint: disable-next=import-outside-toplevel
    from catkintrail import relay_daemon

    gc.freeze()
    gc.enable()
    return relay_daemon.run(ready_listener)


def _open_ready_port() -> socket.socket | None:
    """Opens the port of the readiness check.

    A check that arrives during the imports waits in the queue and is answered
    when the instance is ready. The next one would come a second later.

    Returns:
        The listening socket; None if it cannot be opened, which is reported
        after the imports.
    """
    try:
        address = boot.read_settings().ready_address
        host, _, port = address.rpartition(":")
        return socket.create_server((host, int(port)))
    except (errors.CheckError, OSError, ValueError):
        return None


if __name__ == "__main__":
    sys.exit(main())
