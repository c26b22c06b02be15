"""Membership of the fleet: failure detection by gossip, after SWIM. Not used by other packages yet.

| module | contents |
| --- | --- |
| `gossip.py` | messages and member updates, and their encoding |
| `detector.py` | the failure detector of one member: probes, suspicions, views of the others |
| `timing.py`, `records.py` | the timings of probes; the records of members and pending probes |
| `suspicion.py` | how long a suspicion lasts |
| `dissemination.py` | the choice of updates that are piggybacked on the next message |
| `simulation.py` | a whole fleet in simulated time, for tests and measurements |
"""
