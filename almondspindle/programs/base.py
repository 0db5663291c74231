"""What the daemons share: the run until a signal, and the line that tells the address."""

import asyncio
import signal
import sys

from almondspindle.core.events import PROCESS_READY, PROCESS_STOPPING
from almondspindle.core.exit_codes import EXIT_FAILED, EXIT_OK
from almondspindle.core.logs import emit
from almondspindle.utils.tasks import TaskSet


def announce(program: str, address: str) -> None:
    """Print the address that `program` listens on, for whoever started it."""
    print(f"{program} listens on {address}", flush=True)
    emit(PROCESS_READY, address=address)


STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Wait for SIGTERM or SIGINT. Later signals change nothing: streams are not cut.

    `event` is set by the first signal. Later ones are ignored up to the process's end: asyncio
    would restore the default action with the end of its loop, and a signal that comes then would
    kill a process that has ended its work.
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            signal.signal(number, self._take)

    def _take(self, number: int, frame: object) -> None:
        for each in STOP_SIGNALS:
            signal.signal(each, signal.SIG_IGN)
        self._loop.call_soon_threadsafe(self.event.set)

    async def wait(self, tasks: TaskSet) -> int:
        """Return the exit status once a signal came (0) or a task failed (1)."""
        stop = asyncio.ensure_future(self.event.wait())
        failed = asyncio.ensure_future(tasks.wait_for_failure())
        done, pending = await asyncio.wait({stop, failed}, return_when=asyncio.FIRST_COMPLETED)
        for fut in pending:
            fut.cancel()
        if failed in done:
            print(f"task {failed.result()} failed", file=sys.stderr)
            return EXIT_FAILED
        emit(PROCESS_STOPPING)
        return EXIT_OK
