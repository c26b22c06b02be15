"""The rehearsal kit: runs a schedule of requests and faults against balancers on loopback and checks the
rules."""
