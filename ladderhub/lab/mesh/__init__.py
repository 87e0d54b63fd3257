"""Real scheduler processes with a faulty network between them, and the days that are played on it.

`days` are scripts (also played in simulated time by `lab.emulator`); `relay` stands before each scheduler's
peer address; `fleet` runs the processes; `judge` reads the recording alone.  On the scripts of `change_days`
the configuration changes: `changes` plays them, `revision_judge` judges them by the recording, with `reach`
for who could reach whom, and `hollow` puts hollow schedulers beside the real ones.
"""
