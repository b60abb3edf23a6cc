"""Soak tests: random faults on a fleet of real processes, and checks of the guarantees."""
