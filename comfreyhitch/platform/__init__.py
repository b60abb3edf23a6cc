"""Interfaces of the platform: its object API, documents, heartbeats, headers and settings."""
