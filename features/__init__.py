"""Tests of comfreyhitch."""
