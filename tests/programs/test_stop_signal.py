"""Signals around the end of a process."""

import subprocess
import sys

PROGRAM = """
import asyncio, os, signal
from almondspindle.programs.base import StopSignal
from almondspindle.utils.tasks import TaskSet

async def run():
    stop = StopSignal()
    os.kill(os.getpid(), signal.SIGTERM)
    await stop.wait(TaskSet())
    os.kill(os.getpid(), signal.SIGTERM)

asyncio.run(run())
os.kill(os.getpid(), signal.SIGTERM)
print("ended")
"""


def test_a_signal_after_the_first_changes_nothing_up_to_the_end():
    found = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=60, check=False
    )
    assert (found.returncode, found.stdout) == (0, "ended\n")
