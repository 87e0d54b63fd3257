"""The door to Midshires' platform: one scheduler that speaks `signalling` on real sockets.

Rooms: `config` (what a scheduler is told), `mapping` (what messages and lists mean to the module), `owners`
(the door that owners come to), `links` (connections to machines), `follower` (the journal service), `tasks`
(carries out what the decision module says), `report` (the log), `service` (all of them put together, signals,
start and end).  No room chooses a machine, an answer or a pause: that is `decide`.  Must not import `server`,
`owner`, `pbs`, `rollout` or `lab`, nor anything that the memory limit has no room for.
"""
