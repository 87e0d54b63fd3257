"""Places on loopback that no other process uses, for fleets and tests that run side by side.

`own_host` is an address of the loopback network for listeners of this process, on any port that the system
gives: a caller that goes on trying a listener which has ended elsewhere never comes to one of ours.

`free_port` is for processes that are still to start, on 127.0.0.1.  Between the choice of a port and its use
nobody listens there, so another fleet beside this one could choose it too.  Each choice is therefore locked
for the life of the process that made it: one byte of a file that all processes of the user share, at the
offset of the port's number.  The system releases the locks at the process's end, however it ends."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from functools import cache
from pathlib import Path

FIRST_PORT, LAST_PORT = 11_000, 31_999  # below the range from which the system takes ports for connections

_OWN_NETWORK = 64  # 127.64.0.0 on: room for all process numbers, away from the addresses in common use

_given: set[int] = set()  # by this process: its own locks do not keep it out


def own_host() -> str:
    """An address of the loopback network that is this process's own while it lives."""
    number = os.getpid()
    return f"127.{_OWN_NETWORK + (number >> 16)}.{number >> 8 & 255}.{number & 255}"


@cache
def _lock_file() -> int:
    """The descriptor of the shared file.  It stays open: closing it would release all locks."""
    path = Path(tempfile.gettempdir()) / f"ladderhub-ports-{os.getuid()}"
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)


def _lock(port: int) -> bool:
    """Take the port for this process; False where another process has it."""
    try:
        fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_unused(port: int) -> bool:
    """Does nobody listen there, for streams or for datagrams?"""
    with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        try:
            stream.bind(("127.0.0.1", port))
            datagrams.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_port() -> int:
    """A port that nobody uses and that no other process is given while this one lives."""
    while True:
        port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
        if port not in _given and _lock(port) and _is_unused(port):
            _given.add(port)
            return port
