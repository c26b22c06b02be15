"""Fault injection: one schedule of faults, played in simulated time or among processes on loopback.

| module | what it holds |
| --- | --- |
| `schedule` | a schedule of faults as data: its steps, the state of a link, its JSON |
| `random_schedule` | a schedule of faults drawn from a seed |
| `shrinking` | a failing schedule cut down to the steps that it needs |
| `simulation` | the simulation: virtual time, clocks that drift, a network that fails |
| `model_checker` | the search of all reachable states of a small model |
| `datagram_proxy` | a proxy between two processes that loses, delays and repeats datagrams |
| `process_cluster` | members and lease holders as processes of the program, with the same faults |
| `activity_log` | a task that logs when it acts, and the checks of these logs from outside |

To add a fault: a `StepKind` in `schedule`, what it does to a link in `Link.change` or to a node in
`simulation` and `process_cluster`, and a `RandomFault` in `random_schedule`.
"""
