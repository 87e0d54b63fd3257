"""The node agent: takes jobs over the batch protocol, admits or refuses them, runs them, reports their end.

`admission` decides, without I/O; `runners` start work (emulated or real); `agent` holds the sockets.  Imports
`loop`, `pbs` and `directory.wire`; knows nothing of schedulers' decisions (`decide`, `owner`, `server`).
"""
