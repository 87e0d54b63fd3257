"""The batch protocol: DIS encoding, requests and replies, job scripts and resource lists.  No I/O.

Uses the standard library only and imports little, since each start of `qsub` loads it.  May import only
`errors` of the other packages of ladderhub.
"""
