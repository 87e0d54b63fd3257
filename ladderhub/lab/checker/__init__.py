"""Bounded exhaustive checks of decisions that must hold under any schedule: `leases`, `ballots`.

The modules themselves are run, step by step, under every choice of faults up to a bound, and under random
schedules beyond it; nothing is modelled but time and the network.  Imports the decision packages and the
emulator alone.
"""
