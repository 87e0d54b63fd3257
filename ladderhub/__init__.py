"""A scheduler that places long-lived tasks on the machines of a cluster.

`decide` holds every placement decision and imports `interface` alone.  Around it: `owner` (jobs between
placings), `pbs` (the batch dialect), `loop` (sockets and time), `server`, `node`, `directory`, `commands`,
and
`lab`, which uses them all and is used by none but `cli`.
"""

__version__ = "0.2.0"
