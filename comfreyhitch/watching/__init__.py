"""Follow objects in the platform's store: list once, then watch."""
