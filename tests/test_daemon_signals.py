"""Signals that arrive while a daemon shuts down."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

from ladderhub.lab.ports import free_port

ROOT = Path(__file__).parents[1]


def test_signals_during_shutdown_do_not_kill_the_directory() -> None:
    # Guards against a shutdown that counts as a crash: the interpreter resets signal handlers as it exits, so
    # a late signal would kill the process.
    argv = [sys.executable, "-m", "ladderhub", "directory", "--listen", f"127.0.0.1:{free_port()}"]
    child = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    assert child.stdout is not None
    while "ready" not in child.stdout.readline():
        assert child.poll() is None
    while child.poll() is None:
        child.send_signal(signal.SIGTERM)
    assert child.returncode == 0
