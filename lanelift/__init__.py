"""lanelift: an HTTP load balancer that runs as many replicas, its decisions kept in one pure package."""
