"""The node directory, which takes the place of a site's discovery service, and its protocol.

JSON lines over TCP.  Nodes register and report their free resources; schedulers subscribe and receive lists
after a delay.  `wire` defines the messages and does no I/O; `service` is the server, `stats` its statistics;
the client of schedulers is in `server`.  Imports `loop`, `usage` and `errors`; takes no part in placement.
"""
