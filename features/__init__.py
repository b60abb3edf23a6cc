"""Behavior tests of comfreyhitch, run with behave."""
