"""Loopback ports and addresses: two processes never get the same one."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

from ladderhub.lab import ports

LOCK_CODE = (
    "import sys; from ladderhub.lab import ports; print(ports._lock(int(sys.argv[1])), flush=True); input()"
)


def start_process_that_locks(port: int) -> subprocess.Popen[str]:
    """Start a process that tries to lock the port and lives until its input is closed."""
    argv = [sys.executable, "-c", LOCK_CODE, str(port)]
    return subprocess.Popen(argv, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)


def has_locked(process: subprocess.Popen[str]) -> bool:
    assert process.stdout is not None
    return process.stdout.readline() == "True\n"


def end(process: subprocess.Popen[str]) -> None:
    process.communicate("\n")


def test_a_chosen_port_is_locked_for_other_processes_though_nobody_listens_there() -> None:
    # Concurrent test runs chose the same port before a daemon listened on it; one of the daemons then failed.
    other = start_process_that_locks(ports.free_port())
    assert not has_locked(other)
    end(other)


def test_the_end_of_a_process_frees_its_ports() -> None:
    port = 100_000 + os.getpid()  # not a valid port, so that no other test can hold its lock
    other = start_process_that_locks(port)
    assert has_locked(other) and not ports._lock(port)
    end(other)
    assert ports._lock(port)


def test_ports_are_distinct_and_one_that_is_in_use_is_not_given_out() -> None:
    given = [ports.free_port() for _ in range(50)]
    assert len(set(given)) == 50
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", given[0]))
        assert not ports._is_unused(given[0])
    assert ports._is_unused(given[0])


def test_each_process_has_a_loopback_address_of_its_own() -> None:
    # Clients of one test could reach a listener of another test on a reused port.
    code = "from ladderhub.lab import ports; print(ports.own_host())"
    other = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    hosts = {ports.own_host(), other.stdout.strip()}
    assert len(hosts) == 2
    for host in hosts:
        with socket.socket() as sock:
            sock.bind((host, 0))
