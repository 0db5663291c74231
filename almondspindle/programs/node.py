"""almondspindle-node: the only process of a host on the users' platform.

It passes requests of callers to targets.
"""

import gc
import os
import signal
import sys

from almondspindle.core.exit_codes import EXIT_BAD_SETTINGS, EXIT_FAILED, EXIT_OK


def main() -> int:
    """Run the node until it stops; return the exit status."""
    _install_early_handlers()
    # Collections during the imports find nothing to free. They are on again once the node runs.
    gc.disable()
    # Most modules are imported late. Importing all of them takes a third of a second, and by then
    # signal handlers must be installed and the listening socket must be open.
    from almondspindle.platform.settings import read_settings
    from almondspindle.utils.addresses import listening_socket

    settings = read_settings()
    if settings.is_error():
        print(f"almondspindle-node: {settings.error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        listener = listening_socket(settings.ok.listen_address)
    except OSError as exc:
        reason = f"can't listen on {settings.ok.listen_address}: {exc.strerror}"
        print(f"almondspindle-node: {reason}", file=sys.stderr)
        return EXIT_FAILED
    # From here on, the kernel queues new connections. Otherwise, callers would be refused while
    # all hosts restart after a loss of power.
    from almondspindle.programs.node_server import serve

    return serve(settings.ok, listener)


def _install_early_handlers() -> None:
    """Install signal handlers for the time until the node installs its own.

    A stop signal ends the process immediately, because nothing is in flight yet. SIGHUP is ignored
    instead of killing the process: changes of the settings file are detected later anyway.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        signal.signal(stop_signal, lambda *_: os._exit(EXIT_OK))


if __name__ == "__main__":
    # Skip the finalization of the interpreter, which would delay the exit.
    status = main()
    sys.stdout.flush()
    os._exit(status)
