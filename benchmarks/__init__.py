"""Benchmarks of comfreyhitch on loopback, printed as JSON lines."""
