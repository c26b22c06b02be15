"""Routes: which class and pool a request belongs to, by host, path, method, headers and tenant."""
