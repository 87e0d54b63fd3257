"""The scheduler daemon: sockets, jobs and settings around the decisions.

Tells `decide` and `owner` what happened and carries out what they say; decides nothing of its own.  Imports
`loop`, `pbs`, `owner`, `directory.wire`, `decide` and `interface`; must not import `node`, `lab`, `commands`.
"""
