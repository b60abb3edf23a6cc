"""Facts that daemons replicate by gossip."""
