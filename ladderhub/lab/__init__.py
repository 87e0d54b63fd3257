"""The laboratory: fleets on loopback, fault injection, recordings, the auditor and load tests.

It may import all packages; only `cli` imports it.  The auditor shares no state with the code that it checks:
it reads only recorded bytes.
"""
