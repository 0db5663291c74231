"""Tests for the allocation of ports.

A port must not be assigned to an outgoing connection, to two processes, or in two test runs.
"""

import socket
import subprocess
import sys

import pytest

from tests.standins.ports import BLOCK_PORTS, BLOCKS, FIRST_PORT, LOOPBACK, check_range, free_port

PRINT_PORT = "from tests.standins.ports import free_port; print(free_port(), flush=True); input()"


def test_ports_are_distinct_and_outside_the_range_of_outgoing_connections():
    ports = [free_port() for _ in range(3)]
    assert len(set(ports)) == 3
    assert all(FIRST_PORT < port < FIRST_PORT + BLOCKS * BLOCK_PORTS for port in ports)
    with pytest.raises(RuntimeError):
        check_range(max(ports))


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM], ids=["tcp", "udp"])
def test_ports_in_use_are_skipped(kind):
    with socket.socket(type=kind) as used:
        used.bind((LOOPBACK, free_port() + 1))
        assert free_port() == used.getsockname()[1] + 1


def test_concurrent_runs_use_different_blocks():
    args = [sys.executable, "-c", PRINT_PORT]
    with subprocess.Popen(
        args, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as other_run:
        assert other_run.stdout is not None
        other_port = int(other_run.stdout.readline())
        own_port = free_port()
        other_run.communicate("\n")
    assert (other_port - FIRST_PORT) // BLOCK_PORTS != (own_port - FIRST_PORT) // BLOCK_PORTS
