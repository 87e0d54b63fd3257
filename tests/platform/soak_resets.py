"""Drawn plays that end in resets: machines tell ends and reset connections, with pauses of the process.

`python -m tests.platform.soak_resets FIRST LAST` plays these seeds.  Each is a short play of the soak with an
ending of its own, so that many of them fit into a minute."""

from __future__ import annotations

import os
import signal
import tempfile
from pathlib import Path

from tests.platform.soak import Play, judged, main

STEPS = 40
ENDS_PAUSED, ENDS_RUNNING = 15, 30
OFTEN = 0.3
SETTLE_ROUNDS = 600  # of a millisecond


class ResetPlay(Play):
    """Some steps of the soak, then one of two endings, then SIGTERM."""

    def run(self) -> None:
        for _ in range(STEPS):
            self._step()
        for name in self.modes:
            self.modes[name] = "yes"
        self.draw.choice((self._reset_while_paused, self._resets_between_ends))()
        self._turn(SETTLE_ROUNDS)
        self.terminate()

    def _reset_while_paused(self) -> None:
        """Ends are told to a process that stands still, and half of the connections are reset behind them."""
        os.kill(self.bed.child.pid, signal.SIGSTOP)
        for _ in range(ENDS_PAUSED):
            self._end_task()
        self._turn(self.draw.randrange(1, 30))
        conns = [conn for machine in self.bed.machines for conn in machine.conns]
        for conn in self.draw.sample(conns, len(conns) // 2):
            conn.reset()
        self._turn(self.draw.randrange(1, 30))
        os.kill(self.bed.child.pid, signal.SIGCONT)

    def _resets_between_ends(self) -> None:
        """Ends some milliseconds apart, with pauses and resets between them."""
        for _ in range(ENDS_RUNNING):
            self._end_task()
            if self.draw.random() < OFTEN:
                self._pause()
            machine = self.draw.choice(self.bed.machines)
            if self.draw.random() < OFTEN and machine.conns:
                self.draw.choice(machine.conns).reset()
            self._turn(self.draw.randrange(0, 4))


def play(seed: int) -> tuple[list[str], int]:
    """The faults that were found with this seed, and how many set-ups were asked for."""
    with tempfile.TemporaryDirectory() as folder:
        return judged(ResetPlay(Path(folder), seed), seed)


if __name__ == "__main__":
    main(play)
