"""The laboratory: whole fleets on loopback, faults, recordings, the auditor, load.

May import everything; nothing but `cli` imports it.  The auditor shares no state with what it judges: it
reads
recorded bytes alone.
"""
