"""Leases: at most one holder of a name at a time, over the whole fleet (docs/design/leases.md).

Pure modules decide: `acceptor` and `member` (a voting member), `proposer` and `client` (who wants a lease).
`node`, `holder`, `supervisor` and `watchdog` are the sockets, files, timers and processes around them;
`model` and `simulation` check them.
"""
