"""Thrift messages and transports between daemons."""
