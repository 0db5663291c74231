"""The hosts of a run: real node processes that are started, signalled and restarted."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import BinaryIO

from soak.proxy import Proxy
from tests.standins.ports import free_port

PROGRAM = (sys.executable, "-m", "almondspindle.programs.node")
SHUTDOWN_GRACE_S = 4.0
RESTART_DELAY_S = 0.3
LISTEN_TIMEOUT_S = 10.0  # the start of the interpreter alone takes about 0.1 s
POLL_INTERVAL_S = 0.02


class SoakHost:
    """One host process. It reaches the store through its own proxy."""

    def __init__(
        self,
        number: int,
        zone: str,
        ports: tuple[int, int, int],
        store_proxy: Proxy,
        logs: Path,
    ) -> None:
        self.number = number
        self.zone = zone
        self.name = f"edge-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.store_proxy = store_proxy
        self.lifetime = 0
        self.unexpected_exits: list[str] = []
        self._ports = ports
        self._logs = logs
        self._process: asyncio.subprocess.Process | None = None
        self._expects_exit = False

    @property
    def listen_address(self) -> tuple[str, int]:
        """Return the IP address and port for callers."""
        return self.ip, self._ports[0]

    @property
    def readiness_address(self) -> tuple[str, int]:
        """Return the IP address and port of the readiness check."""
        return self.ip, self._ports[1]

    def _write_settings(self) -> Path:
        front, ready, peers = self._ports
        path = self._logs / f"host-{self.number}.json"
        settings = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {"front": f"{self.ip}:{front}", "ready": f"{self.ip}:{ready}"},
            "internal_ports": [peers, peers + 15],
            "seeds": ["127.0.0.10:1", "127.0.0.11:1", "127.0.0.12:1"],
            "bounds": {"grace_s": SHUTDOWN_GRACE_S, "retry_slack": 50},
            "contracts": ["rollout", "pressure"],
            "platform": {"addr": self.store_proxy.address},
        }
        path.write_text(json.dumps(settings))
        return path

    async def start(self) -> None:
        """Start the process."""
        self.lifetime += 1
        env = {**os.environ, "ALMONDSPINDLE_CONFIG": str(self._write_settings())}
        with self._open_log() as log:
            self._process = await asyncio.create_subprocess_exec(
                *PROGRAM, env=env, stdout=log, stderr=log
            )
        # Reset only now: until here `_process` is the previous process, whose exit was expected.
        self._expects_exit = False

    def _open_log(self) -> BinaryIO:
        return open(self._logs / f"host-{self.number}.log", "ab")

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process of this host, if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signum)

    async def stop(self, signum: signal.Signals) -> None:
        """Terminate the process by a signal and wait for its exit.

        A non-zero exit status after SIGTERM is recorded as unexpected.
        """
        if self._process is None:
            return
        self._expects_exit = True
        if signum is signal.SIGTERM:
            await self._wait_listening()
        self.send_signal(signum)
        status = await self._process.wait()
        if signum is signal.SIGTERM and status != 0:
            self.unexpected_exits.append(
                f"EXIT: host {self.number} exited with status {status} after SIGTERM"
            )

    async def _wait_listening(self) -> None:
        # Until the process has installed its signal handlers, SIGTERM kills it (status -15).
        for _ in range(int(LISTEN_TIMEOUT_S / POLL_INTERVAL_S)):
            try:
                _, writer = await asyncio.open_connection(*self.listen_address)
            except OSError:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            writer.close()
            return

    async def restart(self, signum: signal.Signals) -> None:
        """Terminate the process by a signal and start a new one."""
        await self.stop(signum)
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    def check_process(self) -> None:
        """Record an exit of the process that no fault caused."""
        process = self._process
        if process is not None and process.returncode is not None and not self._expects_exit:
            self.unexpected_exits.append(
                f"EXIT: host {self.number} exited with status {process.returncode}"
            )
            self._expects_exit = True


def shared_ports() -> tuple[int, int, int]:
    """Return free ports for callers, readiness and peers, which all hosts share."""
    front, ready, peers = free_port(), free_port(), free_port()
    while free_port() != peers + 1:  # the metrics server uses the port after `peers`
        peers = free_port()
    return front, ready, peers
