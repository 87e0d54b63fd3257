"""A scheduler that places long-lived tasks on the machines of a cluster.

`decide` holds every placement decision and imports `interface` alone.  Around it: `owner` (jobs between
placings), `rollout` (services and their updates), `membership` (the other schedulers) with `peers`, `pbs`
(the batch dialect), `loop` (sockets and time), `dispatcher` (events to the decision modules), `server`,
`node`, `directory`, `commands`; `signalling` and `platform` (the users' platform), with `translate` for what
they share with `benchlink`; `errors`, used by all; and `lab`, which is used by none but `cli`.
"""

__version__ = "0.2.0"
