"""Placement decisions for schedulers of long-lived tasks."""
