Feature: Which requests wait, which are refused, and which targets get work

  # Pattern: many daemons see the same loads, a few tens of milliseconds old.
  # Guards against all of them choosing the same best target.
  Scenario: Daemons that see the same loads spread their requests
    When 60 daemons each place one request on 12 equal targets by the same reports, 0.15 s old
    Then no target gets more than 13 of the requests

  # Pattern: a burst begins, and one target has more free slots than the others.
  # Guards against all daemons of a region sending it all they get between two reports.
  Scenario: Daemons fill targets evenly between two reports
    When 20 daemons each place one request on 6 targets by the same reports, 0.1 s old
    And 2 run on the first of them and 6 on each other one
    Then no target holds more than 14 of them in 95 of 100 runs

  Scenario Outline: Requests raise the lowest loads to a common level
    # Guards against shares that overload the least loaded target or leave it out.
    Given targets of 8 slots with costs 0.25, 0.5 and 0.5
    When <amount> requests are distributed over them
    Then they get <first>, <second> and <third> of them

    Examples:
      | amount | first | second | third |
      | 1      | 1     | 0      | 0     |
      | 2      | 2     | 0      | 0     |
      | 8      | 4     | 2      | 2     |
      | 14     | 6     | 4      | 4     |

  # Pattern: bursts in two regions at once, and each knows the other's loads late.
  # Guards against placement by loads that are known to be old: a third of the late
  # requests of a day with 85 daemons had been sent to the other region.
  Scenario Outline: The older the loads of the other region, the less work goes there
    Given a near and a far target of 8 slots
    And the loads of the other region are <age> s old
    And peers run <near>, <far> and 0 online requests on them
    Then an online request <outcome>

    Examples:
      | age  | near | far | outcome                   |
      | 0.1  | 7    | 2   | goes to the second target |
      | 0.43 | 7    | 2   | goes to the first target  |
      | 0.43 | 9    | 6   | goes to the second target |
      | 0.43 | 9    | 7   | finds no target           |

  # Pattern: all targets of a region are gone.
  # Guards against slots of the other region that stay free while this one has none.
  Scenario: A region without targets uses all slots of the other one
    Given a near and a far target of 8 slots
    And the loads of the other region are 1.7 s old
    And peers run 0, 8 and 0 online requests on them
    Then an online request goes to the first target
    When the first target says that it leaves
    Then an online request goes to the second target

  # Pattern: a burst every five seconds, with batch between the bursts.
  # Guards against more than 5 in 100 late first events although there are enough slots.
  Scenario Outline: A burst that fits is served on time
    When the fleet model simulates "<pattern>" for 12 s
    Then at most 5 in 100 requests are late
    And all batch items are completed on time

    Examples:
      | pattern   |
      | pulses_9  |
      | pulses_85 |

  # Pattern: a burst fills all slots of the fleet.
  # Guards against engine queues that grow while other targets have free slots.
  Scenario: A request waits only when every target is full
    Given 3 targets of 8 slots
    And peers run 8, 8 and 9 online requests on them
    Then an online request goes to one of the first two targets
    When peers run 10, 10 and 10 online requests on them
    Then an online request finds no target

  Scenario Outline: A target that should get no work gets none
    # Guards against requests to targets that drain, fail, refuse or are unresponsive.
    Given 2 targets of 8 slots
    And peers run 0, 6 and 0 online requests on them
    When the first target <trouble>
    Then an online request goes to the second target

    Examples:
      | trouble                         |
      | says that it leaves             |
      | has failed a moment ago         |
      | has refused a request as full   |
      | is silent with a stream running |

  Scenario: A near target goes before a far one until it is loaded
    # Guards against needless traffic and 20 ms between regions, and against a full
    # region beside an idle one.
    Given a near and a far target of 8 slots
    Then at least 95 of 100 online requests go to the near target
    When peers run 8, 0 and 0 online requests on them
    Then at least 95 of 100 online requests go to the far target

  # Pattern: batch fills the gaps between bursts.
  # Guards against batch that takes the slots of requests that are in flight.
  Scenario: Batch leaves two slots of each target free
    Given 1 targets of 8 slots
    And peers run 5, 0 and 0 online requests on them
    Then a batch item goes to the first target
    When peers run 6, 0 and 0 online requests on them
    Then a batch item finds no target

  # Pattern: a burst meets a target whose slots several daemons filled with batch.
  # Guards against every owner preempting an item where one is enough.
  Scenario: Owners of batch items share the preemptions
    When 6 daemons with one item each share a target of 8 slots with 3 online requests too many, 400 times
    Then on average between 0.85 and 1.15 items are preempted for each one that has to be

  # Pattern: more requests than slots, some of them late already.
  # Guards against slots for responses that are late anyway, while others become late.
  Scenario: Requests that can be on time go before late ones, and urgent ones first
    Given a full target and waiting requests "late urgent", "timely background", "timely urgent"
    When slots become free one after the other
    Then they go to "timely urgent", "timely background", "late urgent"

  # Guards against requests that are held until their deadline in vain.
  Scenario: A request that can't be served in time is refused at once
    Given a full target of 8 slots and 100 waiting requests
    When a request with 400 ms left requests a slot
    Then it is refused within 50 ms
    And the suggested retry delay is between 75 ms and 1.9 s

  Scenario: A request whose client disconnects while it waits holds no slot
    # Guards against slots that are never released.
    Given a full target of 8 slots and 1 waiting requests
    When the waiting request is cancelled as its slot is granted
    Then the target counts only the requests of the peers

  # Pattern: bursts of online load with far more slots than they need.
  # Guards against batch that is preempted by each burst although both would fit.
  Scenario: Batch stays beside the peak where all of it fits there
    Given 4 targets of 8 slots
    And an online peak of 4 requests on each of them in the last seconds
    When 10 batch items are ready to run
    Then 10 of them get a slot, and at most 3 on one target

  # Pattern: bursts that need every slot.
  # Guards against gaps of seconds that stay unused because a burst came before.
  Scenario: Batch uses the gaps between peaks where it does not fit beside them
    Given 4 targets of 8 slots
    And an online peak of 8 requests on each of them in the last seconds
    When 30 batch items are ready to run
    Then 24 of them get a slot, and at most 6 on one target

  # Pattern: 35 daemons in one region, 36 in another.
  # Guards against traffic between regions that grows with the number of daemons.
  Scenario: A region's load reaches each daemon of the other one through one of them
    When 6 daemons of two regions report for 2 s and one has 3 requests on a target
    Then every daemon counts 3 requests on the target
    And every daemon knows that the other 5 are alive
    And every daemon knows that the target has failed, and the newest version
    And at most 80 reports crossed between the regions

  # Pattern: half of the targets are lost during a burst.
  # Guards against requests held until their client gives up, where a retry in the next
  # gap would be served on time.
  Scenario Outline: A request that would be late is asked to return, and a retry waits
    Given a full target of 8 slots and 12 waiting requests
    When a <which> request with an objective of 300 ms requests a slot
    Then it is <outcome>

    Examples:
      | which    | outcome                            |
      | first    | asked to return in 0.1 s to 2.5 s  |
      | returned | kept waiting                       |

  # Guards against retry delays that count requests queued behind the one refused.
  Scenario: Late requests do not make a timely one return
    Given a full target of 8 slots and 12 waiting requests that are late
    When a first request with an objective of 300 ms requests a slot
    Then it is kept waiting

  # Pattern: an overload of online requests for the whole duration of a job.
  # Guards against batch items that all miss their due time while online is served late.
  Scenario: Items that would miss their due time keep two slots of a full target
    Given 1 targets of 8 slots
    And peers run 8, 0 and 0 online requests on them
    Then an urgent batch item goes to the first target, and another one not

  Scenario Outline: How urgent an item is
    # Guards against items that displace online requests although they have time left,
    # and against slots for items that are late anyway.
    Given items of 200 events that take 25 ms each
    Then an item with <events> events so far and <left> s left is <urgency>

    Examples:
      | events | left | urgency |
      | 0      | 18   | NORMAL  |
      | 0      | 8    | URGENT  |
      | 150    | 8    | NORMAL  |
      | 0      | 4    | LATE    |
      | 150    | 4    | URGENT  |
      | 0      | -1   | LATE    |
