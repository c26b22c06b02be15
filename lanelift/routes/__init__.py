"""Routes: map a request to a class and a pool, by its host, path, method, headers and tenant."""
