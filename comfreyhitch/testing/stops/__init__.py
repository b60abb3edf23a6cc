"""Stop daemons under load, and find the requests that end without an answer."""
