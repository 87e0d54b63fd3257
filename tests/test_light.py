"""The modules and the memory of a scheduler that starts on the platform: unused parts are not imported."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
PARTS = ("", ".decide", ".errors", ".interface", ".loop", ".platform", ".signalling")
PACKAGES = {f"ladderhub{part}" for part in PARTS}
UNUSED_PARTS = (
    "membership", "peers", "capacity", "revision", "server", "owner", "rollout", "node", "lab", "cli", "pbs",
    "usage",
)  # fmt: skip
CODE = """
import sys
import ladderhub.platform.service
print(*sorted(name for name in sys.modules if name.startswith("ladderhub")))
# Not ru_maxrss: that counts what the parent had when it forked.
print(next(line.split()[1] for line in open("/proc/self/status") if line.startswith("VmHWM")))
"""


def find_expected_modules() -> set[str]:
    """The files that the deploy file lists as the real scheduler, without those that only other services
    need, and with the two that these build on."""
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    paths = [ROOT / path for path in (*named["policy"], *named["node"], "ladderhub/interface")]
    files = {file for path in paths for file in (path.rglob("*.py") if path.is_dir() else [path])}
    parts = [file.relative_to(ROOT).with_suffix("").parts for file in files]
    modules = {".".join(each).removesuffix(".__init__") for each in parts}
    return (modules - {"ladderhub.loop.datagram", "ladderhub.loop.http"}) | {"ladderhub.errors.base"}


def test_the_platforms_scheduler_loads_no_unused_part_and_starts_with_little_memory() -> None:
    # Guards against an accidental import.  The platform charges for memory, and a start is an outage.
    done = subprocess.run([sys.executable, "-c", CODE], capture_output=True, text=True, check=True)
    loaded, peak_kb = done.stdout.splitlines()
    parts = {name.split(".")[1] for name in loaded.split() if "." in name}
    assert not parts & set(UNUSED_PARTS), sorted(parts)
    assert set(loaded.split()) - PACKAGES == find_expected_modules() - PACKAGES
    assert int(peak_kb) < 32 * 1024  # measured: 19 to 22 MB; the platform's limit is at least 64 MB
