"""Operators' documents, which the daemons follow in the platform's store."""
