Feature: Decisions for online requests

  Scenario: Without a target a request is refused at once as not run
    Given a scheduling bench with 0 targets of 2 slots
    When the bench submits 1 request
    Then the bench refuses it with status 503, "not-run" and Retry-After

  Scenario: A wait that passes the deadline is refused at once with a truthful state
    Guards against a caller who waits for an answer that can't come in time.
    Given a scheduling bench with 1 target of 2 slots
    And completed requests of the bench took 4 seconds each
    When the bench submits 6 requests with 5 seconds to the deadline
    Then 2 of them are sent and 2 are queued
    And the others are refused with status 429, "not-run" and Retry-After

  Scenario: A full queue refuses at once
    Given a scheduling bench with 1 target of 2 slots and a queue of 3
    When the bench submits 7 requests with 30 seconds to the deadline
    Then 2 of them are sent and 3 are queued
    And the others are refused with status 429, "not-run" and Retry-After

  Scenario: Queued bodies are bounded in bytes
    Guards against a few huge prompts that fill the daemon's memory while they wait.
    Given a queue of at most 100 entries and 1000 bytes
    When entries of 400 bytes are pushed 3 times
    Then the third push is refused for its bytes

  Scenario: A leaving target gets no new work
    Guards against work that is sent to a VM after its announced end.
    Given a scheduling bench with 3 targets of 2 slots
    When target "t1" of the bench is leaving
    And the bench submits 6 requests with 30 seconds to the deadline
    Then no request of the bench went to "t1"
    And 4 of them are sent and 2 are queued

  Scenario: When all targets leave, queued requests get their answer at once
    Guards against a request that waits for its deadline although nothing can run it.
    Given a scheduling bench with 1 target of 2 slots
    When the bench submits 5 requests with 30 seconds to the deadline
    And target "t1" of the bench is leaving
    And the bench polls
    Then 3 queued requests are refused with status 503, "not-run" and Retry-After

  Scenario: When capacity is lost, hopeless queued requests get their answer at once
    Given a scheduling bench with 4 targets of 2 slots
    And completed requests of the bench took 4 seconds each
    When the bench submits 24 requests with 9 seconds to the deadline
    And the targets "t1 t2 t3" of the bench are leaving
    And the bench polls
    Then between 8 and 15 queued requests are refused with status 429
    And the refusals came 0 seconds after the loss

  Scenario: A broken connection is resumed before the target is blamed
    Guards against avoiding a healthy target because one connection went silent.
    Given a scheduling bench with 2 targets of 8 slots
    When the bench submits 1 request
    And its connection goes silent after offset 4
    Then the bench resumes it after offset 4 at the same target
    And the target of the request still gets work

  Scenario: A failed resume ends a sampled answer and moves a deterministic one
    Guards against an answer that is stitched together from two different runs.
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
    Guards against retries that multiply the load on targets that are in trouble.
    Given a scheduling bench with 20 targets of 64 slots and no avoidance
    When 1000 requests come over 60 seconds and every attempt fails
    Then the sends are under 1.2 times the requests

  Scenario: When half of the targets die, their requests run elsewhere
    Guards against a budget so tight that the loss of VMs loses accepted requests.
    Given a scheduling bench with 8 targets of 64 slots
    When 10 requests a second that take 4 seconds come for 60 seconds
    And half of the targets die at once
    Then every request that ran there is sent to a living target

  Scenario: A failing target is avoided for a growing time and probed singly
    Guards against a crowd of requests that runs into a dead target at each probe.
    Given a scheduling bench with 1 target of 8 slots
    When 2 requests in a row fail at "t1"
    Then a request is refused or queued for at least 0.4 seconds
    And the first request after that is the only one at "t1"
    When the probe fails 6 times in a row
    Then the pauses grow up to 18 seconds at most

  Scenario: A request that kills two targets is quarantined everywhere
    Guards against one request that crashes every target, sent again by its caller.
    Given a scheduling bench with 4 targets of 8 slots
    When a request with fingerprint "poison" kills each target that runs it
    Then it has killed 2 targets and is refused with status 422 and "may-have-run"
    And a resent request with fingerprint "poison" is refused with status 422 and "not-run"
    And another daemon that receives the entry refuses it too
    And it is accepted again after 301 seconds

  Scenario: Requests beside the poison are not quarantined with it
    Guards against innocent requests that are moved together with the guilty one.
    Given a scheduling bench with 6 targets of 8 slots and a large retry budget
    When 4 innocent requests run beside a poison at the same target
    And the poison kills each target that runs it
    Then only the poison is quarantined

  Scenario: Two daemons that see one death each quarantine together
    Given two quarantines that exchange their entries
    When a fingerprint kills one target that each of them watches
    Then both quarantine it
    And echoes of a single death quarantine nothing

  Scenario: Two deaths at the same moment in two places are two deaths
    Guards against daemons of two regions that take each other's death for their own.
    Given two quarantines that exchange their entries
    When a fingerprint kills one target that each of them watches at the same moment
    Then both quarantine it
    And echoes of a single death quarantine nothing

  Scenario: Batch work is told at once when a target fills up
    Guards against online requests that wait in the engine behind batch items.
    Given a scheduling bench with 1 target of 8 slots
    And "t1" of the bench reports 7 running requests
    When the bench submits 1 request
    Then the batch sender of "t1" is told of 1 online request in flight
    When the bench submits 7 requests with 30 seconds to the deadline
    Then the batch sender of "t1" is told of 8 online requests in flight
    And the bench asks for no slots
    When the bench submits 1 request
    Then the bench asks for 7 slots at "t1"

  Scenario: Own sends correct a late load report
    Guards against a herd that runs to the target whose last report was the lowest.
    Given a scheduling bench with 2 targets of 16 slots
    And "t1" of the bench reports 0 running requests
    And "t2" of the bench reports 6 running requests
    When the bench submits 16 requests with 30 seconds to the deadline
    Then the loads of the targets differ by at most 2

  Scenario: Requests stay in the region while it has room
    Given a scheduling bench with these targets of 2 slots
      | name | zone   |
      | t1   | zone-a |
      | t2   | zone-b |
      | t3   | zone-c |
    When the bench submits 4 requests with 30 seconds to the deadline
    Then no request of the bench went to "t3"
    When the bench submits 2 requests with 30 seconds to the deadline
    Then "t3" got 2 requests of the bench

  Scenario: Spilled requests stay within the daemon's share of the link
    Guards against answers that fill the link which batch data and the store need too.
    Given a scheduling bench with one full target here and a free one in the other region
    When 600 requests of 60000 bytes come over 60 seconds and each ends after 1 second
    Then at most 60 seconds of the daemon's share of the link, and a burst, are used
    And some requests were spilled

  Scenario Outline: What a spilled request is charged follows what really passed
    Guards against an estimate that leaves the link idle or lets large answers fill it.
    Given a scheduling bench with one full target here and a free one in the other region
    When <count> requests of <size> bytes come over 60 seconds and each ends after 1 second
    Then at most 60 seconds of the daemon's share of the link, and a burst, are used
    And at least 80% of 60 seconds of the daemon's share of the link are used

    Examples:
      | count | size   |
      | 3000  | 6000   |
      | 600   | 400000 |

  Scenario: A cached prefix attracts a request until its target is loaded
    Given a scheduling bench with 4 targets of 10 slots
    When a request with a long prefix has run
    Then 5 requests with the same prefix go to the same target
    And of 30 more with the same prefix some go elsewhere

  Scenario: Late and missing cache events keep the prefix index usable
    Given a prefix index
    Then a late eviction does not remove a prefix that was sent just now
    And a gap in the events shortens the life of older prefixes
    And the index stays within its bound
    And event numbers that go back mean an empty cache

  Scenario: The concurrency limit follows the latency that a daemon measures
    Guards against a target overloaded by daemons that do not know of each other.
    Given 6 daemons that share a target of 16 slots without load reports
    When each of them has more work than the target can take
    Then their limits add up to less than 48 after 2000 completions
    And they rise to 16 each again when the latency is back to normal

  Scenario: Organisations share a full queue by their weights
    Given a queue with weights acme 3 and bolt 1
    When both fill the queue and 40 entries are taken out
    Then acme got 30 of them and bolt 10

  Scenario: A change of one member changes at most one place of the subset
    Given 600 members and a subset of 16
    Then removing any member of the subset replaces only that member
    And a weight of 2 doubles a member's share within 15 percent
    And adding a member changes at most one place

  Scenario Outline: The subsets of all daemons cover the targets
    Guards against targets that no daemon ever sends to.
    Then <daemons> daemons with <targets> targets leave at most <unused> unused and keep at most <kept>

    Examples:
      | daemons | targets | unused | kept |
      | 9       | 9       | 0      | 9    |
      | 9       | 100     | 5      | 45   |
      | 9       | 600     | 30     | 267  |
      | 340     | 21      | 0      | 16   |
      | 340     | 600     | 30     | 16   |

  Scenario: Fuzzing of the decisions against oracles
    Then fuzzing finds no fault in these parts
      | part       | examples | steps |
      | scheduler  | 100      | 50    |
      | budget     | 60       | 40    |
      | queue      | 60       | 40    |
      | quarantine | 60       | 40    |

  Scenario Outline: The oracles of the decisions catch a broken variant
    Then fuzzing finds the fault of a <part> that <fault>

    Examples:
      | part       | fault                                  | machine                |
      | scheduler  | calls a broken attempt not run         | UntruthfulMachine      |
      | scheduler  | sends work to leaving targets          | LeavingMachine         |
      | scheduler  | forgets requests past their deadline   | DroppingMachine        |
      | budget     | allows every retry                     | UnlimitedBudgetMachine |
      | queue      | ignores whose turn it is               | UnfairQueueMachine     |
      | quarantine | counts the echo of its own report      | HastyQuarantineMachine |
