"""The fleet of balancers as its operators configure it: members, their messages, and voter recovery.

The fleet is disabled unless the operator's file has a `[fleet]` section. Modules: `cluster` (members and
timings), `messages` and `codec` (the messages between members and their encoding), `transport` (the UDP
socket), `recovery` and `state_file` (whether a voter may vote, and the state that it persists), `clocks`,
`log`.
"""
