"""Tests of the rollout decisions: a simulated cluster, single cases, and event sequences by enumeration."""
