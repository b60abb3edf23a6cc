"""Routing by host and path, and traffic splitting among the services of a route."""
