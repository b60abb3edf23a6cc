"""Count the requests of each account, and report them from one daemon at a time."""
