"""Routing of requests by host and path to services, as one versioned document."""
