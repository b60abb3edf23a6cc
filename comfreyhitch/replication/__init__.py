"""Replication of facts between daemons by gossip and anti-entropy."""
