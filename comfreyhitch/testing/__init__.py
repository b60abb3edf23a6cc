"""Stand-ins for tests, the demo and benchmarks."""
