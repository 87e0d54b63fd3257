"""`python -m ladderhub`."""

from ladderhub.cli import main

main()
