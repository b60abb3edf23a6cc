"""Routes by host and path, with the services behind them."""
