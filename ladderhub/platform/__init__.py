"""A scheduler on Midshires' platform: speaks the `signalling` protocol on real sockets.

Modules: `config` (the configuration), `mapping` (translates messages and lists for the decision module),
`owners` (the server that owners connect to), `links` (connections to machines), `follower` (follows the
journal service), `tasks` (executes the decision module's actions), `report` (the log) and `service`
(assembles them; signals, start and stop).  None of them chooses a machine, an answer or a delay: `decide`
does.  Must not import `server`, `owner`, `pbs`, `rollout` or `lab`, nor anything that does not fit into the
memory limit.
"""
