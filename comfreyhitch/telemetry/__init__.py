"""Logs, metrics and traces of requests."""
