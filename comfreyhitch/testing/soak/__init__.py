"""Soak tests: random faults on a fleet of real processes, and checks of its guarantees."""
