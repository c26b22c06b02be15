"""Emulators of the systems around a balancer, written from the published protocols without daemon code."""
