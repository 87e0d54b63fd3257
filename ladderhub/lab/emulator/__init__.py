"""The pure modules of many schedulers in simulated time: hundreds to a thousand of them in one process.

`net` is the time and the network with its faults, `membership` a fleet, `day` a fault day of `lab.mesh`,
`placement` the placing of jobs over many nodes.
Imports the decision packages and `peers.wire` (for sizes); no sockets, no clock, all chance from a seed.
"""
