"""Stand-ins and helpers of the second review: platform, discovery, upstreams and clients on loopback."""
