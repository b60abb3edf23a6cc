"""Admission control in front of one target."""
