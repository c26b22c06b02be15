"""The real balancer's sockets. Nothing here decides: the driver asks the decision module."""
