"""Rollout decisions: a bed for them, the cases that hurt, and orders of events by the thousand."""
