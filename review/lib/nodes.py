"""Start nodes with the command of the deploy file, and stop what was started."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catchup_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "skew_max_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "cold_over": 1.5, "cold_slack": 5,
    "evac_ms": 5000, "recover_s": 12, "pass_ms": 120, "again_s": 10, "cap_x": 2,
}  # fmt: skip


def free_ports(hosts: list[str], count: int) -> int:
    """Return the first of `count` ports in a row that are free at all `hosts`, TCP and UDP."""
    start = os.getpid() * 41 % 9_000  # cases that start together look at different ports
    for offset in range(0, 9_000, count + 1):
        first = 21_000 + (start + offset) % 9_000
        if all(_is_free(host, port) for host in hosts for port in range(first, first + count)):
            return first
    raise RuntimeError("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


@dataclass
class Node:
    """One machine of the system, with one process."""

    name: str
    zone: str
    ip: str
    settings: Path
    log: Path
    front: tuple[str, int]
    ready: tuple[str, int]
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split(" ")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["ALMONDSPINDLE_CONFIG"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def end(self) -> None:
        """End the process, whatever its state."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness address as the platform does."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


@dataclass
class Fleet:
    """The machines of a small deployment, each with an address of the loopback range."""

    zones: dict[str, int]  # machines by zone
    store_address: str = ""
    nodes: list[Node] = field(default_factory=list)
    folder: tempfile.TemporaryDirectory | None = None

    def prepare(self, store_address: str, bounds: dict | None = None) -> None:
        """Write the settings file of each machine."""
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store_address = store_address
        count = sum(self.zones.values())
        ips = [f"127.0.0.{11 + i}" for i in range(count)]
        first = free_ports(ips, 20)
        named = [(z, i + 1) for z, n in self.zones.items() for i in range(n)]
        for ip, (zone, number) in zip(ips, named, strict=True):
            name = f"edge-{zone}-{number}"
            path = Path(self.folder.name) / f"{name}.json"
            settings = {
                "node": name, "role": "node", "class": "edge", "serves": ["edge", "control"],
                "ip": ip, "zone": zone, "region": "area-1",
                "zones": {z: "area-1" for z in self.zones},
                "listen": {"front": f"{ip}:{first}", "ready": f"{ip}:{first + 1}",
                           "control": f"{ip}:{first + 2}"},
                "internal_ports": [first + 3, first + 18],
                "seeds": [f"{other}:{first + 2}" for other in ips[:3]],
                "bootstrap": True, "loss_counts": False,
                "limits": {"cpu_share": 0.537, "cores": 2, "ram_mb": 300, "max_fds": 4200,
                           "link_mbps": 1000.0, "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                              "stream", "tenants", "places", "platform"],
                "tolerate": {"machines": 2, "zones": 1, "regions": 0},
                "bounds": {**BOUNDS, **(bounds or {})},
                "platform": {"addr": store_address, "form": "objects", "writes_per_s": 400,
                             "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                             "ttl_min_ms": 1000},
            }  # fmt: skip
            path.write_text(json.dumps(settings))
            log = Path(self.folder.name) / f"{name}.log"
            self.nodes.append(Node(name, zone, ip, path, log, (ip, first), (ip, first + 1)))

    async def start(self, timeout_s: float = 20.0) -> None:
        """Start all machines and wait until each says that it is ready."""
        for node in self.nodes:
            node.start()
        async with asyncio.timeout(timeout_s):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.05)

    def end(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            node.end()
        if self.folder is not None:
            self.folder.cleanup()
