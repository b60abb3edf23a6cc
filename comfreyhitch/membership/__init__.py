"""Failure detection and the member list."""
