"""Small general-purpose helpers."""
