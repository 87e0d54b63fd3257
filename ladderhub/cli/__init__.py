"""The `ladderhub` command, with one file for each group of subcommands.

Imports `loop` and `errors`.  Each command imports what it runs inside its function, so that its start loads
nothing that it does not need.  Must not be imported by any other package.
"""

from __future__ import annotations

import click

from ladderhub import __version__
from ladderhub.cli.daemons import check, demo, directory, node, run_on_platform, serve
from ladderhub.cli.lab import lab
from ladderhub.cli.policy import policy
from ladderhub.cli.rollout import rollout


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Schedule long-lived tasks on the machines of a cluster."""


for command in (check, serve, run_on_platform, node, directory, demo, rollout, policy, lab):
    main.add_command(command)
