"""All decisions of lanelift, in modules that open no socket and read no clock.

`balancer.py` handles the events of `events.py` and returns the actions of `actions.py`, as configured by
`settings.py`. It routes each event to one of the rules below; `state.py` holds the state that they share.
Names in capitals are constants of the module; other names are fields of the settings or of the state. R is
the rate at which this replica forwards requests (`rate_control.py`), and U the balance of a token bank.

==================== ====================== ================================== =============================
Rule                 Module                 Inputs                             Condition or limit
==================== ====================== ================================== =============================
Tenant denied        tenants.py             directory, class, tenant           unknown, suspended, 0 limit
Tenant state bounds  tenants.py             tenants that send requests         MAX_TOKEN_BANKS,
                                                                               MAX_TOKEN_BUCKETS
Rate limit           token_bucket.py        the limit, time                    no token left; BURST_S
Token bank           token_bank.py          the tenant's part of R, time       U < 1; BANK_CAPACITY_S,
                                                                               BUFFER_SHARE
Rate control         rate_control.py        outcomes, excess latency           excess > TOLERATED_EXCESS
Admission: hopeless  admission.py           expected time, deadline            HOPELESS_FACTOR
Admission: too old   admission.py           expected time, time since receipt  past the latency objective
Admission: queue     admission.py           queue length, goodput, spare time  QUEUE_TIME_SHARE,
                                                                               OVER_SHARE_QUEUE_TIME_SHARE
Ordering by key      ordering.py            key, ends of attempts              Rules.key_cooldown_ns
Legality             legality.py            request, attempts, upstream        protocol rules 1 to 3 and 5
Writes               write_check.py         client, upstream, earlier writes   MAX_WRITE_DELAY_NS
Reuse of connections connection_reuse.py    bytes that nobody asked for, time  SETTLE_NS, DISTRUST_NS
Restrictions         restrictions.py        zone, kind of machine, class       protocol rule 6
Placement: window    placement.py           attempts in flight, window         OVERDUE_WINDOW_SHARE
Placement: late      placement.py           queued work, time to the objective MAX_TIME_SHARE
Concurrency window   concurrency.py         latency ratios of responses        MIN_CONGESTION_THRESHOLD,
                                                                               CONGESTION_MULTIPLE
Service time         service_time.py        durations, class, cost hint        each response
Choice of upstream   pool.py                queued work of random draws        DRAWS, DRAWS_WITH_PEER_LOAD
Eligibility          eligibility.py         endpoint, ejection, in flight      ConcurrencyEstimator.window
Queued work          queued_work.py         attempts, announcements, reports   MAX_QUEUED_WORK_NS
Load probes: use     load_probe_settings.py limits, report fields, price       MAX_PROBES_PRICE
Load probes: rounds  probing.py             load reports                       PROBE_TIMEOUT_SHARE,
                                                                               QUICK_REPORT_DIVISOR
Start of an attempt  forwarding.py          request, chosen upstream           placement or hedging
Retries              retries.py             attempts, legality, wait timeout   Limits.max_attempts
Hedging              hedging.py             expected time, deviation           DURATION_MARGIN, DEVIATIONS
Giving up            deadlines.py           objective, deadline, expected time DURATION_MARGIN,
                                                                               MIN_WAIT_DIVISOR
Repeated ids         executed_ids.py        digests of ids, time               REMEMBERED_NS, BUCKETS
Open ids             open_ids.py            digests of ids                     BUCKET_PLACES, BUCKETS
Memory of peers      memory.py              what is kept, the process's limit  BUFFER_SHARE,
                                                                               GUARANTEED_BYTES
Processing time      turns.py               time used, input that waits        CLIENT_SHARE, QUEUE_SHARE,
                                                                               TURN_S
Giving up: uploads   upload_deadline.py     unread and received bytes, time    OPEN_WINDOW_BYTES,
                                                                               MAX_HIDDEN_BYTES
Streamed responses   response_progress.py   received bytes, times              the table at its head
Final answers        answers.py             legality, denial                   legality.may_reject
Outcomes             outcomes.py            results, durations of attempts     FAILURE_EJECTION_NS
Outlier ejection     ejection.py            failures, resets, errors           ERROR_EJECTION_RATE,
                                                                               SHARED_RESET_RATE
Slow start           slow_start.py          start time, sustained rate         Rules.slow_start_ns,
                                                                               BUDGET_SHARE
Subsets              subsets.py             ready upstreams, replicas          MIN_SUBSET_SIZE, MAX_DEGREE
Peer load            peer_load.py           price, degree, messages            MAX_RECIPIENTS,
                                                                               MAX_ANNOUNCEMENT_PRICE
Endpoint list        registry.py            snapshots and deltas               each update
Replaced upstreams   address_takeover.py    addresses, start times             one process an address
Subscription         subscription.py        failures of calls                  FIRST_BACKOFF_NS
Feedback             feedback.py            counts of the interval             FEEDBACK_INTERVAL_NS
==================== ====================== ================================== =============================

The path of a request: `admission.py` checks its tenant (`tenants.py`), makes it wait for earlier requests of
its key (`ordering.py`), takes a token (`token_bank.py`) and adds it to the queue of its pool (`pool.py`),
with load probes if they are used (`probing.py`). `placement.py` picks an upstream from the pool and checks
with `legality.py` that the attempt is allowed; `forwarding.py` starts the attempt and `hedging.py` watches
it. `outcomes.py` handles its end. Then `retries.py` queues the request again, or `answers.py` gives its final
answer. `answers.py` also answers requests that `deadlines.py` finds to have waited too long.

`requests.py`, `attempts.py` and `upstreams.py` define the records that the rules keep of requests, attempts
and upstreams; `timers.py` schedules calls; `units.py` names the units of time.
"""
