"""Signals at the last moment of a daemon's stop."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

from ladderhub.lab.ports import free_port

ROOT = Path(__file__).parents[1]


def test_signals_until_the_last_moment_of_a_stop_end_no_directory_by_a_signal() -> None:
    # Guards against a stop that counts as a crash: the interpreter resets its handlers as it ends.
    argv = [sys.executable, "-m", "ladderhub", "directory", "--listen", f"127.0.0.1:{free_port()}"]
    child = subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    assert child.stdout is not None
    while "ready" not in child.stdout.readline():
        assert child.poll() is None
    while child.poll() is None:
        child.send_signal(signal.SIGTERM)
    assert child.returncode == 0
