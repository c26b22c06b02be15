"""The rehearsal kit: plays requests and faults against balancers on loopback and checks the rules.

A scenario file describes one day: the fleet, the load and the faults for `length_s` seconds. A rehearsal
plays such a day once, on loopback sockets.
"""
