"""Leases: at most one holder of a name at a time, over the whole fleet (docs/design/leases.md).

The protocol is in pure modules: `acceptor` and `member` (a voting member), `proposer` and `client` (a process
that wants a lease). `node`, `holder`, `supervisor` and `watchdog` add sockets, files, timers and processes;
`model` and `simulation` check the protocol.
"""
