"""Stand-ins for the platform and the upstreams, and a fault-injecting proxy."""
