"""Discrete-event simulation of the pure modules of hundreds to a thousand schedulers in one process.

`net` simulates time and a faulty network, `membership` a fleet of members, `day` a fault day of `lab.mesh`,
`revisions` changes of the configuration (with `revision_judge`), and `placement` the placing of jobs over
many nodes.  The package imports the decision packages and `peers.wire` (for message sizes).  It uses no
sockets and no clock, and all random draws come from a seed.
"""
