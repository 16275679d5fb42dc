"""Routing of requests to services by host and path, as one versioned document."""
