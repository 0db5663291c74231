"""Stop signals and the start-up announcement, shared by all daemons."""

import asyncio
import signal
import sys

from almondspindle.core.events import PROCESS_READY, PROCESS_STOPPING
from almondspindle.core.exit_codes import EXIT_FAILED, EXIT_OK
from almondspindle.core.logs import emit
from almondspindle.utils.tasks import TaskSet


def announce(program: str, address: str) -> None:
    """Print the address that `program` listens on, so that its parent process can read it."""
    print(f"{program} listens on {address}", flush=True)
    emit(PROCESS_READY, address=address)


STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Wait for SIGTERM or SIGINT.

    `event` is set by the first signal. Later signals are ignored until the process exits, so that
    they do not abort streams in flight. `loop.add_signal_handler` is not used: asyncio restores
    the default action when its loop closes, and a signal after that would kill a process that has
    already finished its work.
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        for stop_signal in STOP_SIGNALS:
            signal.signal(stop_signal, self._on_signal)

    def _on_signal(self, number: int, frame: object) -> None:
        for stop_signal in STOP_SIGNALS:
            signal.signal(stop_signal, signal.SIG_IGN)
        self._loop.call_soon_threadsafe(self.event.set)

    async def wait(self, tasks: TaskSet) -> int:
        """Wait for a stop signal or a failed task; return exit status 0 or 1 respectively."""
        stop = asyncio.ensure_future(self.event.wait())
        failed = asyncio.ensure_future(tasks.wait_for_failure())
        done, pending = await asyncio.wait({stop, failed}, return_when=asyncio.FIRST_COMPLETED)
        for future in pending:
            future.cancel()
        if failed in done:
            print(f"task {failed.result()} failed", file=sys.stderr)
            return EXIT_FAILED
        emit(PROCESS_STOPPING)
        return EXIT_OK
