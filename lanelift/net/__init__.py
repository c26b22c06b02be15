"""The daemon's sockets. Nothing here decides: `dispatch.py` hands events to the balancer and carries out its
actions.
"""
