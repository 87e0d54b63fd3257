"""Loopback addresses and ports that no other process uses, for fleets and tests that run concurrently.

`own_host` returns a loopback address for listeners of this process, on any port that the system assigns.  A
client that keeps retrying a listener of another process which has ended never reaches one of this process.

`free_port` is for processes that have yet to start, on 127.0.0.1.  Nobody listens on a port between its
choice and its use, so a concurrent fleet could choose it too.  Each chosen port is therefore locked for the
life of the process that chose it: one byte, at the offset of the port number, of a file that all processes of
the user share.  The system releases the locks when the process ends, in whatever way."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from functools import cache
from pathlib import Path

FIRST_PORT, LAST_PORT = 11_000, 31_999  # below the ephemeral ports of the system

_OWN_NETWORK = 64  # from 127.64.0.0: room for all process numbers, apart from commonly used addresses

_locked_ports: set[int] = set()  # by this process, which its own locks do not exclude


def own_host() -> str:
    """Return a loopback address that no other process uses while this one lives."""
    number = os.getpid()
    return f"127.{_OWN_NETWORK + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


@cache
def _open_lock_file() -> int:
    """Return the descriptor of the lock file, which stays open because closing it releases all locks."""
    path = Path(tempfile.gettempdir()) / f"ladderhub-ports-{os.getuid()}"
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)


def _lock(port: int) -> bool:
    """Lock a port for this process; return False if another process holds it."""
    try:
        fcntl.lockf(_open_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_unused(port: int) -> bool:
    """Report whether the port can be bound for both TCP and UDP."""
    with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        try:
            stream.bind(("127.0.0.1", port))
            datagrams.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_port() -> int:
    """Return an unused port, locked so that no other process gets it while this one lives."""
    while True:
        port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
        if port not in _locked_ports and _lock(port) and _is_unused(port):
            _locked_ports.add(port)
            return port
