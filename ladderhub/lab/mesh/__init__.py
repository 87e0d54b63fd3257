"""Runs fault days on real scheduler processes with a faulty network between them.

`days` holds the scripts, which `lab.emulator` also runs in simulated time.  `relay` proxies each scheduler's
peer address, `fleet` runs the processes, and `judge` checks a run from its recording alone.  The scripts in
`change_days` also change the configuration: `changes` runs them, `revision_judge` checks them from the
recording, `reach` computes which schedulers could reach each other, and `hollow` adds hollow schedulers.
"""
