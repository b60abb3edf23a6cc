"""Orders of the operators that stand in the platform's store."""
