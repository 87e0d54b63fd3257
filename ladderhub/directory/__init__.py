"""The node directory: a stand-in for the discovery service of a site, and how it is spoken to.

JSON lines over TCP.  Nodes register and tell their free room; schedulers watch and get lists pushed, late.
`wire` holds the messages and does no I/O; `service` is the stand-in; the scheduler's end is in `server`.
Imports `loop` only; decides nothing about placement.
"""
