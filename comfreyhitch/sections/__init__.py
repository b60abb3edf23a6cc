"""Sections of the operators' document."""
