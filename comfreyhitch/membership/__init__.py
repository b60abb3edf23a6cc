"""Failure detection, registration and the member list."""
