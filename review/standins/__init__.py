"""Stand-ins for the platform's store, backend servers and clients."""
