"""The rehearsal kit: plays requests and faults against balancers on loopback and checks the rules."""
