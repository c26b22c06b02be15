"""The fleet of balancers on the operators' side: members, their messages, and who may vote.

Off without `[fleet]` in the operator's file. Modules: `cluster` (members and timings), `messages` and `codec`
(what they send each other), `transport` (the UDP socket), `recovery` and `state_file` (whether a voter may
vote, and what it persists), `clocks`, `log`.
"""
