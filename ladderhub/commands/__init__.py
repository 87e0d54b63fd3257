"""The batch commands that people type: `qsub`, `qstat`, `qdel` and the rest (POSIX.1-2008 utilities).

Blocking sockets and the standard library alone, since these start by the thousand.  Imports `pbs` only.
"""
