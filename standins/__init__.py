"""Stand-ins for the platform's services and for backend servers, for tests, demo and bench."""
