"""Tenants from LDAP directories: what they may ask for, learned while traffic goes on.

A process of its own reads the directories, as the LDAP client blocks; the balancer's process never imports
that client.

| module | what it holds |
| --- | --- |
| `entries` | attribute map; a directory's entry read and validated. A new tenant attribute begins here |
| `names` | the folded form under which tenants' names are compared |
| `store` | what holds of each tenant after all readings |
| `tenant_state` | what holds of one tenant, and changes of it |
| `removals` | guard against too many removals; tombstones |
| `validity` | when tenants' validity begins or ends |
| `notices` | what the store logs, each text once |
| `schedule` | which directory is read when: full reads and reads of changes |
| `client` | one connection to a directory, by `ldap3` |
| `replica_reader` | the thread that reads one replica at a time |
| `sync_worker` | the sync process: its main thread and its entry point |
| `sync_config` | what the sync process is told to read |
| `sync_messages` | messages between the balancer and the sync process, and their JSON |
| `sync_process` | the balancer's side: keeps the sync process running and posts updates to the dispatcher |

All but the last six are pure: they touch no socket, clock, file or process.
"""
