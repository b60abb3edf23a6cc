"""Caller side of a daemon: accept requests and route them to targets."""
