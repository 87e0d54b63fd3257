"""The `ladderhub` command, a file for each group of its commands.

Imports `loop`, `errors` and, inside each command, what that command runs: nothing that a command does not
need is loaded at its start.  Must not be imported by any other package.
"""

from __future__ import annotations

import click

from ladderhub import __version__
from ladderhub.cli.daemons import check, demo, directory, node, on_platform, serve
from ladderhub.cli.lab import lab
from ladderhub.cli.policy import policy
from ladderhub.cli.rollout import rollout


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Schedule long-lived tasks on the machines of a cluster."""


for command in (check, serve, on_platform, node, directory, demo, rollout, policy, lab):
    main.add_command(command)
