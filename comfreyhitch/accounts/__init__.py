"""Client accounts: who may send requests, and by which keys they are known."""
