"""Parts that every other package builds on."""
