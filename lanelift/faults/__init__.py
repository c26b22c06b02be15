"""Fault injection: plays a schedule of faults in simulated time, or among processes on loopback.

| module | contents |
| --- | --- |
| `schedule` | schedules of faults as data: steps, the state of a link, JSON |
| `random_schedule` | generation of a schedule from a seed |
| `shrinking` | reduction of a failing schedule to the steps that it needs |
| `simulation` | the simulation: virtual time, drifting clocks, an unreliable network |
| `model_checker` | exploration of all reachable states of a small model |
| `datagram_proxy` | a proxy between two processes that loses, delays and repeats datagrams |
| `process_cluster` | members and lease holders as processes of the program, with the same faults |
| `activity_log` | a task that logs when it acts, and the checks of these logs |

To add a fault, add a `StepKind` to `schedule`, its effect on a link to `Link.change` or on a node to
`simulation` and `process_cluster`, and a `RandomFault` to `random_schedule`.
"""
