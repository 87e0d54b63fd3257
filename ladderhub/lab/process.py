"""Command lines for Python processes of the project."""

from __future__ import annotations

import sys


def build_module_command(name: str, *arguments: str) -> list[str]:
    """Build the command that runs an installed module.

    `-P` keeps the current folder off the import path, so that a folder `ladderhub` there is not run instead.
    """
    return [sys.executable, "-P", "-m", name, *arguments]
