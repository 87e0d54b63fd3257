"""Stand-ins of the review: machines, a journal service, an owner and the platform that starts a scheduler."""
