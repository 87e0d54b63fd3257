"""Import rules: no cycles, and only the dependencies that the packages' docstrings allow."""

from __future__ import annotations

import ast
import subprocess
import sys
from graphlib import CycleError, TopologicalSorter
from pathlib import Path
from types import ModuleType

import pytest

import ladderhub
import ladderhub.decide
import ladderhub.membership
import ladderhub.revision

ROOT = Path(ladderhub.__file__).parent
PURE = tuple(
    f"ladderhub.{name}"
    for name in ("decide", "owner", "rollout", "membership", "revision", "signalling", "translate")
)


def collect_imports() -> dict[str, set[str]]:
    """Map each module to the modules of ladderhub that it imports anywhere, also for types only."""
    names = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT.parent).with_suffix("").parts
        names[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    found: dict[str, set[str]] = {}
    for name, path in names.items():
        found[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
                both = [node.module, *(f"{node.module}.{alias.name}" for alias in node.names)]
            elif isinstance(node, ast.Import):
                both = [alias.name for alias in node.names]
            else:
                continue
            found[name] |= {each for each in both if each in names and each != name}
        # `from ladderhub.x import y`, where y is a module, depends on y but not on x.
        found[name] -= {each for each in found[name] if any(o.startswith(each + ".") for o in found[name])}
    return found


def test_no_modules_import_each_other_in_a_cycle() -> None:
    # Guards against an import cycle of daemon, client listener and metrics, which new subsystems would join.
    try:
        list(TopologicalSorter(collect_imports()).static_order())
    except CycleError as fault:
        raise AssertionError(" -> ".join(fault.args[1])) from None


def test_decision_packages_import_no_sockets_and_no_package_imports_its_users() -> None:
    allowed = {
        "ladderhub.errors": {"ladderhub.errors"},
        "ladderhub.decide": {"ladderhub.interface", "ladderhub.decide"},
        "ladderhub.owner": {"ladderhub.interface", "ladderhub.owner"},
        "ladderhub.rollout": {"ladderhub.interface", "ladderhub.rollout"},
        "ladderhub.membership": {"ladderhub.membership"},
        "ladderhub.revision": {"ladderhub.revision"},
        "ladderhub.usage": {"ladderhub.usage", "ladderhub.loop"},
        "ladderhub.peers": {
            "ladderhub.peers", "ladderhub.membership", "ladderhub.revision", "ladderhub.loop",
            "ladderhub.errors", "ladderhub.usage",
        },
        "ladderhub.pbs": {"ladderhub.pbs", "ladderhub.errors"},
        "ladderhub.loop": {"ladderhub.loop"},
        "ladderhub.translate": {"ladderhub.interface", "ladderhub.errors"},
        "ladderhub.dispatcher": set(),
        "ladderhub.signalling": {"ladderhub.signalling", "ladderhub.errors"},
        "ladderhub.platform": {
            "ladderhub.platform", "ladderhub.signalling", "ladderhub.loop", "ladderhub.dispatcher",
            "ladderhub.translate", "ladderhub.decide", "ladderhub.interface", "ladderhub.errors",
        },
        "ladderhub.commands": {"ladderhub", "ladderhub.pbs", "ladderhub.commands", "ladderhub.errors"},
        "ladderhub.directory": {
            "ladderhub.directory", "ladderhub.loop", "ladderhub.errors", "ladderhub.usage",
        },
        "ladderhub.node": {
            "ladderhub.node", "ladderhub.loop", "ladderhub.pbs", "ladderhub.directory", "ladderhub.usage",
        },
        "ladderhub.server": {
            "ladderhub.server", "ladderhub.loop", "ladderhub.pbs", "ladderhub.owner", "ladderhub.decide",
            "ladderhub.interface", "ladderhub.directory", "ladderhub.rollout", "ladderhub.dispatcher",
            "ladderhub.errors", "ladderhub.membership", "ladderhub.peers", "ladderhub.revision",
            "ladderhub.usage",
        },
    }  # fmt: skip
    for name, used in collect_imports().items():
        for package, may in allowed.items():
            if name == package or name.startswith(package + "."):
                top = "ladderhub"  # it contains only the version
                wrong = {
                    u for u in used if not any(u == m or (m != top and u.startswith(m + ".")) for m in may)
                }
                assert not wrong, f"{name} imports {sorted(wrong)}"
                if package in PURE:
                    text = (ROOT / Path(*name.split(".")[1:])).with_suffix(".py")
                    source = text.read_text() if text.exists() else ""
                    assert not {"socket", "selectors", "time", "os"} & {
                        alias.name for node in ast.walk(ast.parse(source))
                        if isinstance(node, ast.Import) for alias in node.names
                    }  # fmt: skip


@pytest.mark.parametrize("package", [ladderhub.decide, ladderhub.membership, ladderhub.revision])
def test_each_file_of_a_decision_package_uses_only_those_before_it(package: ModuleType) -> None:
    text = " ".join((package.__doc__ or "").split())
    order = text.partition("in this order: ")[2].rstrip(".").split(", ")
    folder = Path(package.__path__[0])
    assert sorted(order) == sorted(p.stem for p in folder.glob("*.py") if p.stem != "__init__")
    for name, used in collect_imports().items():
        if name.startswith(f"{package.__name__}."):
            at = order.index(name.rpartition(".")[2])
            parts = {u.rpartition(".")[2] for u in used if u.startswith(f"{package.__name__}.")}
            assert parts <= set(order[:at]), (name, sorted(parts))


def test_the_platform_scheduler_loads_only_libraries_that_its_environment_has() -> None:
    # Guards against an import of a library that `run` does not install there, which failed the first start.
    code = "import sys, ladderhub.platform.service; print(*{name.partition('.')[0] for name in sys.modules})"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    needed = (ROOT.parent / "requirements.txt").read_text()
    for library in ("click", "structlog", "httptools", "hdrh", "prometheus_client", "_jsonnet", "msgspec"):
        assert (library in done.stdout.split()) == (library in needed), library
