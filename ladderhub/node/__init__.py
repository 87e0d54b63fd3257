"""The node agent: receives jobs over the batch protocol, admits or refuses, runs and reports them.

`admission` decides, without I/O; `runners` run jobs (emulated or real); `jobs` holds the jobs of the node;
`connection`, `outbox` and `directory_link` own the sockets, and `agent` connects them all.  Imports `loop`,
`pbs`, `directory.wire` and `usage`; does not depend on schedulers (`decide`, `owner`, `server`).
"""
