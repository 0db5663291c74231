"""almondspindle-node: one process a host on the users' platform, from callers to targets."""

import os
import signal
import sys

from almondspindle.core.exit_codes import EXIT_BAD_SETTINGS, EXIT_FAILED, EXIT_OK


def main() -> int:
    """Run the process; return the exit status."""
    _await_handlers()
    # Modules are imported when they are needed: together they take a third of a second, in which
    # a signal may come and callers connect.
    from almondspindle.platform.settings import read_settings
    from almondspindle.utils.addresses import listening_socket

    found = read_settings()
    if found.is_error():
        print(f"almondspindle-node: {found.error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        listener = listening_socket(found.ok.listen_address)
    except OSError as exc:
        reason = f"can't listen on {found.ok.listen_address}: {exc.strerror}"
        print(f"almondspindle-node: {reason}", file=sys.stderr)
        return EXIT_FAILED
    # Callers who connect from here on wait in the kernel's queue. They would find no host after a
    # loss of power that took all of them.
    from almondspindle.programs.node_parts import serve

    return serve(found.ok, listener)


def _await_handlers() -> None:
    """Have signals do no harm until the process handles them.

    Nothing is in flight yet, so a stop ends the process at once; changed settings are looked at
    when all modules are there.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: os._exit(EXIT_OK))


if __name__ == "__main__":
    # Skips the interpreter's tear-down: whoever waits for the exit waits no longer than needed.
    status = main()
    sys.stdout.flush()
    os._exit(status)
