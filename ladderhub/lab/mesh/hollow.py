"""Runs hollow schedulers in separate processes, next to the real schedulers of a mesh."""

from __future__ import annotations

import signal
import subprocess
from pathlib import Path

import msgspec

from ladderhub.lab.emulator.net import S
from ladderhub.lab.fleet import Fleet
from ladderhub.lab.process import build_module_command
from ladderhub.lab.scale.hollow_schedulers import HollowPlan, HollowResult

NAME_PREFIX = "hollow"
SCHEDULERS_PER_PROCESS = 60  # the most that one process can keep up with
STOP_TIMEOUT_NS = 15 * S


class HollowPeers:
    """A number of hollow schedulers; `stop` returns the lowest revision active on any of them."""

    def __init__(self, fleet: Fleet, folder: Path, count: int) -> None:
        self._fleet, self._folder, self.count = fleet, folder, count
        self._processes: list[subprocess.Popen[bytes]] = []
        self._result_files: list[Path] = []

    def start(self, cluster: str, seeds: list[str], voters: list[str], slots: int, seed: int) -> None:
        """Starts the processes that join the cluster through these seeds."""
        for first in range(0, self.count, SCHEDULERS_PER_PROCESS):
            number = min(SCHEDULERS_PER_PROCESS, self.count - first)
            plan = HollowPlan(
                cluster, seeds, voters, number, "1s", "8s", slots, seed * 10_000 + first,
                prefix=f"{NAME_PREFIX}{first}-",
            )  # fmt: skip
            file, result_file = self._folder / f"hollow-{first}.json", self._folder / f"hollow-{first}.out"
            file.write_bytes(msgspec.json.encode(plan))
            argv = build_module_command("ladderhub.lab.scale.hollow_schedulers", str(file), str(result_file))
            with open(self._folder / f"hollow-{first}.log", "wb") as log:
                self._processes.append(
                    self._fleet.loop.spawn(argv, lambda status: None, stdout=log, stderr=log)
                )
            self._result_files.append(result_file)

    def stop(self) -> int:
        """Stops the processes and returns their lowest active revision, or 0 if one left no result."""
        self._send_signal(signal.SIGTERM)
        have_all_ended = self._fleet.run_until(
            lambda: all(process.poll() is not None for process in self._processes), STOP_TIMEOUT_NS
        )
        if not have_all_ended or not all(result_file.exists() for result_file in self._result_files):
            self._send_signal(signal.SIGKILL)
            return 0
        results: list[HollowResult] = [
            msgspec.json.decode(result_file.read_bytes(), type=HollowResult)
            for result_file in self._result_files
        ]
        return min((result.revision_least for result in results), default=0)

    def _send_signal(self, number: signal.Signals) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(number)
