"""The side of a daemon that guards its target."""
