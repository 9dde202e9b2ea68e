Feature: Scheduling of online requests

  Scenario: A request without a target is refused immediately as not run
    Given a scheduling bench with 0 targets of 2 slots
    When the bench submits 1 request
    Then the bench refuses it with status 503, "not-run" and Retry-After

  Scenario: A request whose wait exceeds its deadline is refused immediately
    Guards against a caller that waits for a response that can't come in time.
    Given a scheduling bench with 1 target of 2 slots
    And completed requests of the bench took 4 seconds each
    When the bench submits 6 requests with 5 seconds to the deadline
    Then 2 of them are sent and 2 are queued
    And the others are refused with status 429, "not-run" and Retry-After

  Scenario: A full queue refuses requests immediately
    Given a scheduling bench with 1 target of 2 slots and a queue of 3
    When the bench submits 7 requests with 30 seconds to the deadline
    Then 2 of them are sent and 3 are queued
    And the others are refused with status 429, "not-run" and Retry-After

  Scenario: Queued bodies are limited in bytes
    Guards against a few huge prompts that fill the daemon's memory while queued.
    Given a queue of at most 100 entries and 1000 bytes
    When entries of 400 bytes are pushed 3 times
    Then the third push is refused for its bytes

  Scenario: A leaving target gets no new work
    Guards against requests sent to a VM after its announced shutdown.
    Given a scheduling bench with 3 targets of 2 slots
    When target "t1" of the bench is draining
    And the bench submits 6 requests with 30 seconds to the deadline
    Then no request of the bench went to "t1"
    And 4 of them are sent and 2 are queued

  Scenario: When all targets drain, queued requests are refused immediately
    Guards against a request that waits for its deadline although no target can run it.
    Given a scheduling bench with 1 target of 2 slots
    When the bench submits 5 requests with 30 seconds to the deadline
    And target "t1" of the bench is draining
    And the bench polls
    Then 3 queued requests are refused with status 503, "not-run" and Retry-After

  Scenario: When capacity is lost, hopeless queued requests get their answer at once
    Given a scheduling bench with 4 targets of 2 slots
    And completed requests of the bench took 4 seconds each
    When the bench submits 24 requests with 9 seconds to the deadline
    And the targets "t1 t2 t3" of the bench are draining
    And the bench polls
    Then between 8 and 15 queued requests are refused with status 429
    And the refusals came 0 seconds after the loss

  Scenario: A broken connection is resumed before it counts against the target
    Guards against avoiding a healthy target because one connection timed out.
    Given a scheduling bench with 2 targets of 8 slots
    When the bench submits 1 request
    And its connection times out after offset 4
    Then the bench resumes it after offset 4 at the same target
    And the target of the request still gets requests

  Scenario: After a failed resume only a deterministic request is retried elsewhere
    Guards against a response composed of two different runs.
    Given a scheduling bench with 2 targets of 8 slots
    When a sampled request breaks after offset 4 and can't be resumed
    Then it is refused with status 502 and "may-have-run"
    When a deterministic request breaks after offset 4 and can't be resumed
    Then it is sent to the other target

  Scenario: Not-run is said only when no byte was sent or the target said so
    Given a scheduling bench with 3 targets of 8 slots
    Then a request that fails with these failures ends with the run state
      | failures                                        | state        |
      | connect_failed connect_failed connect_failed    | not-run      |
      | refused_not_run connect_failed refused_not_run  | not-run      |
      | connect_failed target_error connect_failed      | may-have-run |
      | refused_not_run first_token_timeout             | may-have-run |
      | broken connect_failed connect_failed            | may-have-run |
      | connect_failed silent refused_not_run           | may-have-run |

  Scenario: Retries stay within the budget when all targets fail
    Guards against retries that multiply the load on failing targets.
    Given a scheduling bench with 20 targets of 64 slots and no avoidance
    When 1000 requests come over 60 seconds and every attempt fails
    Then the sends are under 1.2 times the requests

  Scenario: Requests that could not connect are sent elsewhere beyond the retry budget
    Guards against refusals of requests that nothing has run, because those sent to a
    region that can't be reached have used up the retries.
    Given a scheduling bench with 2 targets of 80 slots
    When 60 requests are sent and all those at "t1" can't connect
    Then each of these, 20 or more, is sent to "t2"

  Scenario: When half of the targets are lost, their requests run elsewhere
    Guards against a retry budget so small that the loss of VMs fails accepted requests.
    Given a scheduling bench with 8 targets of 64 slots
    When 10 requests a second that take 4 seconds come for 60 seconds
    And half of the targets are lost at once
    Then every request that ran there is sent to a target that is alive

  Scenario: A failing target is avoided with back-off and probed by single requests
    Guards against many requests that fail at a lost target at each probe.
    Given a scheduling bench with 1 target of 8 slots
    When 2 requests in a row fail at "t1"
    Then a request is refused or queued for at least 0.4 seconds
    And the first request after that is the only one at "t1"
    When the probe fails 6 times in a row
    Then the pauses grow up to 18 seconds at most

  Scenario: A request that crashes two targets is quarantined at all daemons
    Guards against one request that crashes every target when its caller resends it.
    Given a scheduling bench with 4 targets of 8 slots
    When a request with fingerprint "poison" crashes each target that runs it
    Then it has crashed 2 targets and is refused with status 422 and "may-have-run"
    And a resent request with fingerprint "poison" is refused with status 422 and "not-run"
    And another daemon that receives the entry refuses it too
    And it is accepted again after 301 seconds

  Scenario: Requests that run alongside a crashing one are not quarantined
    Guards against other requests that are retried at the same target as the one at
    fault.
    Given a scheduling bench with 6 targets of 8 slots and a large retry budget
    When 4 other requests run alongside a crashing one at the same target
    And the crashing request crashes each target that runs it
    Then only the crashing request is quarantined

  Scenario: Two daemons that observe one crash each quarantine the fingerprint
    Given two quarantines that exchange their entries
    When a fingerprint crashes one target that each of them observes
    Then both quarantine it
    And repeated reports of a single crash quarantine nothing

  Scenario: Simultaneous crashes of two targets count as two
    Guards against daemons of two regions that mistake each other's report for their own.
    Given two quarantines that exchange their entries
    When a fingerprint crashes one target that each of them observes at the same moment
    Then both quarantine it
    And repeated reports of a single crash quarantine nothing

  Scenario: Batch senders are notified immediately when a target fills up
    Guards against online requests that wait in the engine behind batch items.
    Given a scheduling bench with 1 target of 8 slots
    And "t1" of the bench reports 7 running requests
    When the bench submits 1 request
    Then the batch sender of "t1" is notified of 1 online request in flight
    When the bench submits 7 requests with 30 seconds to the deadline
    Then the batch sender of "t1" is notified of 8 online requests in flight
    And the bench asks for no slots
    When the bench submits 1 request
    Then the bench asks for 7 slots at "t1"

  Scenario: Own sends correct a delayed load report
    Guards against all requests going to the target with the lowest last report.
    Given a scheduling bench with 2 targets of 16 slots
    And "t1" of the bench reports 0 running requests
    And "t2" of the bench reports 6 running requests
    When the bench submits 16 requests with 30 seconds to the deadline
    Then the loads of the targets differ by at most 2

  Scenario: Requests stay in the region while it has free slots
    Given a scheduling bench with these targets of 2 slots
      | name | zone   |
      | t1   | zone-a |
      | t2   | zone-b |
      | t3   | zone-c |
    When the bench submits 4 requests with 30 seconds to the deadline
    Then no request of the bench went to "t3"
    When the bench submits 2 requests with 30 seconds to the deadline
    Then "t3" got 2 requests of the bench

  Scenario: A request waits for the target with its model while the link is full
    Guards against a request that ends with 503 because it was sent to a target without
    its model, whereas the one with the model was only over the budget of the link.
    Given a scheduling bench with these targets of 8 slots
      | name | zone   |
      | t1   | zone-a |
      | t3   | zone-c |
    And "t1" of the bench has the model "other-lm" and "t3" has "small-lm"
    When requests have used the budget of the link
    And the bench submits 1 request
    Then 0 of them are sent and 1 are queued
    And it is sent to "t3" within 10 seconds

  Scenario: Requests wait for a busy target with their model and delay no other model
    Guards against requests that fail at targets without their model, and against a
    queue in which requests for a busy model hold up those for an idle one.
    Given a scheduling bench with these targets of 2 slots
      | name | zone   |
      | t1   | zone-a |
      | t2   | zone-a |
    And "t1" of the bench has the model "small-lm" and "t2" has "other-lm"
    When the bench submits 3 requests with 30 seconds to the deadline
    Then 2 of them are sent and 1 are queued
    And no request of the bench went to "t2"
    When the bench submits 3 requests for the model "other-lm"
    Then 4 of them are sent and 2 are queued
    When a request at "t2" has ended and the bench polls
    Then the request that is sent is for the model "other-lm"

  Scenario: A request that would wait too long for its model is refused immediately
    Guards against a wait that is estimated with the slots of targets without the model.
    Given a scheduling bench with 8 targets of 2 slots
    And completed requests of the bench took 4 seconds each
    And of the targets of the bench only "t1" has the model "small-lm"
    When the bench submits 6 requests with 5 seconds to the deadline
    Then 2 of them are sent and 2 are queued
    And the others are refused with status 429, "not-run" and Retry-After

  Scenario: A request is refused immediately if all targets with its model fail
    Guards against a request that waits although no target can run it soon.
    Given a scheduling bench with 2 targets of 2 slots
    And of the targets of the bench only "t1" has the model "small-lm"
    When all requests at "t1" fail for 20 seconds
    And the bench submits 1 request
    Then the bench refuses it with status 503, "not-run" and Retry-After

  Scenario: A target that has loaded nothing yet gets no requests
    Guards against requests that fail at an engine which has just started, because a
    report without models was taken for an unknown one.
    Given a scheduling bench with 2 targets of 8 slots
    And "t1" of the bench has no model and "t2" has "small-lm"
    When the bench submits 8 requests with 30 seconds to the deadline
    Then no request of the bench went to "t1"
    And 8 of them are sent and 0 are queued

  Scenario: Requests for a model that no target has pause no target for other models
    Guards against a target that is avoided because callers ask for a model that is
    still to be loaded.
    Given a scheduling bench with 1 target of 8 slots
    And of the targets of the bench only "t1" has the model "small-lm"
    When 3 requests for the model "other-lm" are refused as not loaded
    And the bench submits 7 requests with 30 seconds to the deadline
    Then 7 of them are sent and 0 are queued

  Scenario: Spilled requests stay within the daemon's share of the link
    Guards against responses that saturate the link, which batch and the store need too.
    Given a scheduling bench with one full target here and a free one in the other region
    When 600 requests of 60000 bytes come over 60 seconds and each ends after 1 second
    Then at most 60 seconds of the daemon's share of the link, and a burst, are used
    And some requests were spilled

  Scenario Outline: A spilled request is charged the bytes that it transfers
    Guards against an estimate that leaves the link idle or lets it saturate.
    Given a scheduling bench with one full target here and a free one in the other region
    When <count> requests of <size> bytes come over 60 seconds and each ends after 1 second
    Then at most 60 seconds of the daemon's share of the link, and a burst, are used
    And at least 80% of 60 seconds of the daemon's share of the link are used

    Examples:
      | count | size   |
      | 3000  | 6000   |
      | 600   | 400000 |

  Scenario: Requests go to the target with their cached prefix until it is loaded
    Given a scheduling bench with 4 targets of 10 slots
    When a request with a long prefix has run
    Then 5 requests with the same prefix go to the same target
    And of 30 more with the same prefix some go elsewhere

  Scenario: The prefix index tolerates delayed and missing cache events
    Given a prefix index
    Then a delayed eviction does not remove a prefix that was just sent
    And a gap in the events shortens the lifetime of older prefixes
    And the index stays within its size limit
    And decreasing event numbers mean an empty cache

  Scenario: The concurrency limit adapts to the measured latency
    Guards against a target overloaded by daemons that do not know of each other.
    Given 6 daemons that share a target of 16 slots without load reports
    When each of them has more work than the target can take
    Then their limits add up to less than 48 after 2000 completions
    And they rise to 16 each again when the latency is back to normal

  Scenario: Organisations share a full queue by their weights
    Given a queue with weights acme 3 and bolt 1
    When both fill the queue and 40 entries are taken out
    Then acme got 30 of them and bolt 10

  Scenario: A change of one member changes at most one entry of the subset
    Given 600 members and a subset of 16
    Then removing any member of the subset replaces only that member
    And a weight of 2 doubles a member's share within 15 percent
    And adding a member changes at most one entry

  Scenario Outline: The subsets of all daemons cover the targets
    Guards against targets that are unused because no daemon has them as candidates.
    Then <daemons> daemons with <targets> targets leave at most <unused> unused and keep at most <kept>

    Examples:
      | daemons | targets | unused | kept |
      | 9       | 9       | 0      | 9    |
      | 9       | 100     | 5      | 45   |
      | 9       | 600     | 30     | 267  |
      | 340     | 21      | 0      | 16   |
      | 340     | 600     | 30     | 16   |

  Scenario: Fuzzing of the scheduler's parts against oracles
    Then fuzzing finds no fault in these parts
      | part       | examples | steps |
      | scheduler  | 100      | 50    |
      | budget     | 60       | 40    |
      | queue      | 60       | 40    |
      | quarantine | 60       | 40    |

  Scenario Outline: The oracles detect broken variants of the parts
    Then fuzzing finds the fault of a <part> that <fault>

    Examples:
      | part       | fault                                  | machine                |
      | scheduler  | calls a broken attempt not run         | UntruthfulMachine      |
      | scheduler  | sends work to leaving targets          | LeavingMachine         |
      | scheduler  | forgets requests past their deadline   | DroppingMachine        |
      | budget     | allows every retry                     | UnlimitedBudgetMachine |
      | queue      | ignores whose turn it is               | UnfairQueueMachine     |
      | quarantine | counts the echo of its own report      | HastyQuarantineMachine |
