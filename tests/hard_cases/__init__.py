"""Faults during the placement of jobs, each caused over real sockets."""
