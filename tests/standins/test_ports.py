"""Ports of processes: apart from outgoing connections, from each other and from other runs."""

import socket
import subprocess
import sys

import pytest

from tests.standins.ports import BLOCK_PORTS, BLOCKS, FIRST_PORT, LOOPBACK, check_range, free_port

PRINT_PORT = "from tests.standins.ports import free_port; print(free_port(), flush=True); input()"


def test_no_outgoing_connection_can_be_given_a_port_of_ours():
    ports = [free_port() for _ in range(3)]
    assert len(set(ports)) == 3
    assert all(FIRST_PORT < port < FIRST_PORT + BLOCKS * BLOCK_PORTS for port in ports)
    with pytest.raises(RuntimeError):
        check_range(max(ports))


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM], ids=["tcp", "udp"])
def test_a_port_in_use_is_passed_over(kind):
    with socket.socket(type=kind) as used:
        used.bind((LOOPBACK, free_port() + 1))
        assert free_port() == used.getsockname()[1] + 1


def test_two_runs_at_a_time_take_ports_of_different_blocks():
    args = [sys.executable, "-c", PRINT_PORT]
    with subprocess.Popen(args, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) as other:
        assert other.stdout is not None
        theirs = int(other.stdout.readline())
        ours = free_port()
        other.communicate("\n")
    assert (theirs - FIRST_PORT) // BLOCK_PORTS != (ours - FIRST_PORT) // BLOCK_PORTS
