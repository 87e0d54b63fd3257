"""Hollow schedulers beside the real ones of a mesh, in processes of their own."""

from __future__ import annotations

import signal
import subprocess
from pathlib import Path

import msgspec

from ladderhub.lab.emulator.net import S
from ladderhub.lab.fleet import Fleet
from ladderhub.lab.process import build_module_command
from ladderhub.lab.scale.hollow_schedulers import HollowPlan, HollowResult

PREFIX = "hollow"
IN_A_PROCESS = 60  # one process keeps up with so many
END_NS = 15 * S


class HollowPeers:
    """So many hollow schedulers; `end` gives the lowest revision that any of them acts by."""

    def __init__(self, fleet: Fleet, folder: Path, count: int) -> None:
        self._fleet, self._folder, self.count = fleet, folder, count
        self._processes: list[subprocess.Popen[bytes]] = []
        self._outs: list[Path] = []

    def start(self, cluster: str, seeds: list[str], voters: list[str], slots: int, seed: int) -> None:
        for first in range(0, self.count, IN_A_PROCESS):
            number = min(IN_A_PROCESS, self.count - first)
            plan = HollowPlan(
                cluster, seeds, voters, number, "1s", "8s", slots, seed * 10_000 + first,
                prefix=f"{PREFIX}{first}-",
            )  # fmt: skip
            file, out = self._folder / f"hollow-{first}.json", self._folder / f"hollow-{first}.out"
            file.write_bytes(msgspec.json.encode(plan))
            argv = build_module_command("ladderhub.lab.scale.hollow_schedulers", str(file), str(out))
            with open(self._folder / f"hollow-{first}.log", "wb") as log:
                self._processes.append(
                    self._fleet.loop.spawn(argv, lambda status: None, stdout=log, stderr=log)
                )
            self._outs.append(out)

    def end(self) -> int:
        """End the processes; 0 where one of them left no result."""
        self._signal(signal.SIGTERM)
        over = self._fleet.run_until(
            lambda: all(process.poll() is not None for process in self._processes), END_NS
        )
        if not over or not all(out.exists() for out in self._outs):
            self._signal(signal.SIGKILL)
            return 0
        results: list[HollowResult] = [
            msgspec.json.decode(out.read_bytes(), type=HollowResult) for out in self._outs
        ]
        return min((result.revision_least for result in results), default=0)

    def _signal(self, number: signal.Signals) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(number)
