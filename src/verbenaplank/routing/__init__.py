"""Routes from callers' hosts and paths to services, as one versioned document."""
