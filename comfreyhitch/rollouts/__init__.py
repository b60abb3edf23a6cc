"""Version rollouts and their rollback."""
