"""The batch dialect: DIS encoding, requests and replies, job scripts and resource lists.  No I/O.

Bytes in, requests or replies out.  Standard library only and light to import, since `qsub` starts from here;
must not import any other package of ladderhub.
"""
