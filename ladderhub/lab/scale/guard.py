"""Kills the processes of a scale run that exits without stopping them.

`python -m ladderhub.lab.scale.guard` reads process ids, one per line, from its standard input.  At the end of
the input, which is also reached if its parent is killed, it kills those that are still running.  It refers to
each process by a pidfd, so that it can't kill an unrelated process to which the system has given the same id.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys


def main() -> None:
    """Read process ids until the end of the standard input, then kill the processes."""
    # Ctrl-C in a terminal is sent to this process too, but it has to outlive the run.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    pidfds: list[int] = []
    for line in sys.stdin:
        with contextlib.suppress(ProcessLookupError):
            pidfds.append(os.pidfd_open(int(line)))
    for pidfd in pidfds:
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(pidfd, signal.SIGKILL)


if __name__ == "__main__":
    main()
