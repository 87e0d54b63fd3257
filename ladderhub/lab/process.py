"""How the laboratory starts Python processes of the project."""

from __future__ import annotations

import sys


def build_module_command(name: str, *arguments: str) -> list[str]:
    """The command that runs a module of what is installed.

    `-P` keeps the current folder off the import path: a folder `ladderhub` that happens to lie there must not
    be run instead."""
    return [sys.executable, "-P", "-m", name, *arguments]
