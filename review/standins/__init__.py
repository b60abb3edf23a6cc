"""Stand-ins for clients, upstreams and the platform, and the processes of a deployment."""
