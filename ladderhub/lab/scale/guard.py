"""Ends what a scale run started, should the run itself end without doing so.

`python -m ladderhub.lab.scale.guard` reads process ids, one a line, from its standard input.  At the end of
the input, which comes also where its parent was killed, it kills those of them that still live.  A process is
held by a descriptor, so that an id which the system gave to another process by then harms nobody.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys


def main() -> None:
    # Whoever interrupts the run from a terminal interrupts this process too: it has to outlive the run.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    handles: list[int] = []
    for line in sys.stdin:
        with contextlib.suppress(ProcessLookupError):
            handles.append(os.pidfd_open(int(line)))
    for handle in handles:
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(handle, signal.SIGKILL)


if __name__ == "__main__":
    main()
