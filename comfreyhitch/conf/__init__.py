"""Settings of a daemon and of the command line."""
