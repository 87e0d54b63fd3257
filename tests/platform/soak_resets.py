"""Random runs that end with resets: machines report ends and reset connections, while the process is paused.

`python -m tests.platform.soak_resets FIRST LAST` runs these seeds.  Each is a short run of the soak with an
ending of its own, so that many of them fit into a minute."""

from __future__ import annotations

import os
import signal
import tempfile
from pathlib import Path

from tests.platform.soak import SoakRun, main, run_and_judge

STEPS = 40
ENDS_WHILE_PAUSED, ENDS_WHILE_RUNNING = 15, 30
FAULT_PROBABILITY = 0.3
SETTLE_ROUNDS = 600  # of a millisecond


class ResetSoakRun(SoakRun):
    """Some steps of the soak, then one of two endings, then SIGTERM."""

    def run(self) -> None:
        for _ in range(STEPS):
            self._step()
        for name in self.modes:
            self.modes[name] = "yes"
        self.rng.choice((self._reset_while_paused, self._reset_between_ends))()
        self._run_rounds(SETTLE_ROUNDS)
        self.terminate()

    def _reset_while_paused(self) -> None:
        """Report ends to a paused process, then reset half of the connections."""
        os.kill(self.bed.child.pid, signal.SIGSTOP)
        for _ in range(ENDS_WHILE_PAUSED):
            self._end_task()
        self._run_rounds(self.rng.randrange(1, 30))
        conns = [conn for machine in self.bed.machines for conn in machine.conns]
        for conn in self.rng.sample(conns, len(conns) // 2):
            conn.reset()
        self._run_rounds(self.rng.randrange(1, 30))
        os.kill(self.bed.child.pid, signal.SIGCONT)

    def _reset_between_ends(self) -> None:
        """Report ends some milliseconds apart, with pauses and resets between them."""
        for _ in range(ENDS_WHILE_RUNNING):
            self._end_task()
            if self.rng.random() < FAULT_PROBABILITY:
                self._pause()
            machine = self.rng.choice(self.bed.machines)
            if self.rng.random() < FAULT_PROBABILITY and machine.conns:
                self.rng.choice(machine.conns).reset()
            self._run_rounds(self.rng.randrange(0, 4))


def run_seed(seed: int) -> tuple[list[str], int]:
    """Run one seed; return the faults found and the number of set-ups sent."""
    with tempfile.TemporaryDirectory() as folder:
        return run_and_judge(ResetSoakRun(Path(folder), seed), seed)


if __name__ == "__main__":
    main(run_seed)
