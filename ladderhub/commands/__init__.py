"""The batch commands for users: `qsub`, `qstat`, `qdel` and the others (POSIX.1-2008 utilities).

They use blocking sockets and the standard library only, because scripts start them by the thousand.  Imports
`pbs` only.
"""
