"""The side of a daemon that serves callers."""
