"""Ingress: the side of a daemon that admits calls and sends them to its target."""
