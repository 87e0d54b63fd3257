"""Resource accounting of a process: processor time by cause, bytes and messages by kind of connection.

`processor` and `traffic` count and do no I/O; `accounted` applies them to the event loop and its streams.
Counting costs integer additions and two readings of the processor clock per callback.  Imports `loop` only.
The event loop itself has no hooks for it, and the scheduler on the users' platform doesn't load it.
"""
