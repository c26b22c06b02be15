"""Which members of the fleet are alive: failure detection by gossip, after SWIM. Used by nothing yet.

| module | holds |
| --- | --- |
| `gossip.py` | messages and member updates, and their bytes |
| `detector.py` | the failure detector of one member: probes, suspicions, views of the others |
| `timing.py`, `records.py` | how long things take; what is remembered of a member and a probe |
| `suspicion.py` | how long a suspicion lasts |
| `dissemination.py` | which updates ride on the next message |
| `simulation.py` | a whole fleet in simulated time, for tests and measurements |
"""
