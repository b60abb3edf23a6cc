"""Randomized faults on a fleet of real processes, and checks of what it promises."""
