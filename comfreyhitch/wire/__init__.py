"""Thrift messages and connections between daemons."""
