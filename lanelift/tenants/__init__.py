"""Tenants read from LDAP directories while the balancer runs: shares, quotas, limits and suspensions.

The LDAP client blocks, so a separate process, the sync process, reads the directories. The balancer's process
never imports the client.

| module | contents |
| --- | --- |
| `entries` | attribute map; parsing and validation of a directory entry. A new tenant attribute begins here |
| `names` | case folding and normalization of tenant names |
| `store` | merges readings of directories into the state of each tenant |
| `tenant_state` | the state of one tenant, and changes of states |
| `removals` | guard against too many removals; tombstones |
| `validity` | timer for the beginning and end of tenants' validity |
| `notices` | log messages of the store, without repetitions |
| `schedule` | schedule of the full reads and the reads of changes |
| `client` | one connection to a directory, by `ldap3` |
| `replica_reader` | the thread that reads one replica at a time |
| `sync_worker` | the sync process: its main thread and its entry point |
| `sync_config` | configuration of the sync process |
| `sync_messages` | messages between the balancer and the sync process, and their JSON |
| `sync_process` | the balancer's side: keeps the sync process running and posts updates to the dispatcher |

`client`, `replica_reader`, `sync_worker` and `sync_process` use sockets, clocks, files, threads or processes.
All other modules are pure.
"""
