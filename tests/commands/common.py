"""Run the operators' command line as a process."""

import asyncio
import sys


async def run_command(*args: str) -> tuple[int, str]:
    """Run the operators' command line; return its exit status and combined output."""
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "almondspindle.programs.cli",
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    out, _ = await proc.communicate()
    return proc.returncode or 0, out.decode()
