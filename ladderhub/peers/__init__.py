"""Datagrams between schedulers: their encoding, and the transport that sends and receives them on the loop.

Each datagram holds one message, encoded as MessagePack by `msgspec`, with a version and a tag of the cluster;
it has at most 1,200 bytes.  The package imports `loop`, `errors` and the messages and types of `membership`.
It makes no decisions and must not be imported by a decision module.
"""
