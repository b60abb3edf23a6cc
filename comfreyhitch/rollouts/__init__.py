"""Gradual rollouts of service versions, and their rollback."""
