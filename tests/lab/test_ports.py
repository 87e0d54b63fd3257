"""Ports for processes that are still to start: no two of the machine's processes are given the same one."""

from __future__ import annotations

import os
import socket
import subprocess
import sys

from ladderhub.lab import ports

CODE = (
    "import sys; from ladderhub.lab import ports; print(ports._lock(int(sys.argv[1])), flush=True); input()"
)


def other_process(port: int) -> subprocess.Popen[str]:
    """Another process that tries to take the port, and lives until its input is closed."""
    argv = [sys.executable, "-c", CODE, str(port)]
    return subprocess.Popen(argv, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)


def locked_by(process: subprocess.Popen[str]) -> bool:
    assert process.stdout is not None
    return process.stdout.readline() == "True\n"


def end(process: subprocess.Popen[str]) -> None:
    process.communicate("\n")


def test_a_port_that_was_given_out_is_no_other_processes_though_nobody_listens_there() -> None:
    # Guards against test runs side by side whose daemons find their port taken.
    other = other_process(ports.free_port())
    assert not locked_by(other)
    end(other)


def test_the_end_of_a_process_frees_its_ports() -> None:
    port = 100_000 + os.getpid()  # no port, so that no other test may hold its lock
    other = other_process(port)
    assert locked_by(other) and not ports._lock(port)
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
    # Guards against callers of one test that reach another's listener by a port that was used again.
    code = "from ladderhub.lab import ports; print(ports.own_host())"
    other = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    hosts = {ports.own_host(), other.stdout.strip()}
    assert len(hosts) == 2
    for host in hosts:
        with socket.socket() as sock:
            sock.bind((host, 0))
