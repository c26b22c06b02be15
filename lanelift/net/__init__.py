"""The daemon's network I/O. No decision is made here: `dispatch.py` passes events to the balancer, which is
in `lanelift.policy`, and executes its actions.
"""
