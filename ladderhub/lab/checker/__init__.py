"""Bounded model checking of invariants that must hold under any schedule: `leases` and `ballots`.

The checks run the production classes step by step, under every combination of faults up to a bound and then
under random schedules.  Only time and the network are simulated.  `schedules` runs whole schedulers under
random faults.  The package imports only the decision packages and the emulator.
"""
