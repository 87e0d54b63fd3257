"""Datagrams between schedulers: their encoding, and the carrier that sends and receives them on the loop.

One message a datagram, MessagePack by `msgspec`, at most 1,200 bytes, with a version and a tag of the
cluster.  Imports `loop`, `errors` and the messages and types of `membership`; holds no decision.  Must not be
imported by a decision module.
"""
