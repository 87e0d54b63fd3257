"""The node agent: takes jobs over the batch protocol, admits or refuses them, runs them, reports their end.

`admission` decides, without I/O; `runners` start work (emulated or real); `jobs` are what was taken in;
`connection`, `outbox` and `directory_link` hold the sockets, and `agent` joins these.  Imports `loop`, `pbs`
and `directory.wire`; knows nothing of schedulers' decisions (`decide`, `owner`, `server`).
"""
