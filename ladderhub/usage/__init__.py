"""What a process spends: processor time by cause, bytes and messages by kind of connection.

`processor` and `traffic` count and do no I/O; `accounted` applies them to the event loop and its streams.
Counting is integer additions and two readings of the processor clock a callback.  Imports `loop` only.  The
users' platform loads none of it: the event loop itself has no hooks.
"""
