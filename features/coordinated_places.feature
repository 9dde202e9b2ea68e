Feature: The coordinator of a large region grants the slots of its targets

  # Pattern: a burst over many daemons, each with less than one request in flight.
  # Guards against overloaded targets because no daemon knows what the others place.
  Scenario Outline: A burst over many daemons fills the targets evenly
    Given a coordinator of <daemons> daemons before <targets> targets of 8 slots
    When each daemon requests <each> slots at once
    Then no target has more than 9 requests and the fullest one 1 more than the emptiest
    And <granted> slots are granted and <rest> requests wait or are refused

    Examples:
      | daemons | targets | each | granted | rest |
      | 98      | 15      | 1    | 98      | 0    |
      | 170     | 15      | 1    | 135     | 35   |
      | 340     | 40      | 1    | 340     | 0    |

  # Pattern: a burst that does not fit. Guards against slots granted to late requests, or
  # depending on which daemon holds a request, while a timely one waits on another daemon.
  Scenario: One queue for all daemons
    Given a coordinator of 20 daemons before 1 targets of 8 slots
    When each daemon requests 1 slots at once
    And a daemon requests a slot for a late request, and another one for an urgent one
    And 2 slots become free
    Then the urgent request has been granted one of them and the late one none

  # Guards against two slots for one request when an answer of the coordinator is lost.
  Scenario: A request whose answer was lost is repeated and keeps its slot
    Given a coordinator of 2 daemons before 2 targets of 8 slots
    When a daemon sends the same slot request 3 times
    Then it has been granted the same slot 3 times and 1 request counts

  # Pattern: the coordinator is killed during a burst. Guards against a deputy that grants
  # held slots a second time.
  Scenario: A deputy that takes over knows the held slots
    Given a coordinator of 30 daemons before 4 targets of 8 slots
    When each daemon requests 1 slots at once
    And all daemons report what they hold to a deputy
    Then the deputy counts the same requests on each target
    And the deputy grants at most 6 more slots

  # Guards against slots that are never freed when the message that releases them is lost,
  # and against those that are freed because a report crossed the message granting them.
  Scenario Outline: A slot missing from its daemon's report is freed after a grace period
    Given a coordinator of 2 daemons before 1 targets of 8 slots
    When a daemon gets 3 slots and reports <after> s later that it holds none
    Then <count> requests count on the target

    Examples:
      | after | count |
      | 0.05  | 3     |
      | 0.4   | 0     |

  # Guards against slots that stay held by daemons that no longer exist.
  Scenario Outline: The slots of a daemon that <fate> are freed
    Given a coordinator of 2 daemons before 1 targets of 8 slots
    When a daemon gets 3 slots and <fate>
    Then 0 requests count on the target

    Examples:
      | fate              |
      | is silent for 2 s |
      | starts again      |

  # Pattern: a burst meets targets full of batch. Guards against bursts that preempt all
  # items at once when fewer would do, and against items that are preempted twice.
  Scenario: Only as many items are preempted as online requests need
    Given a coordinator of 10 daemons before 1 targets of 8 slots
    When 6 daemons run a batch item there and 4 get a slot for an online request
    Then after 0.05 s 2 items have been preempted
    And after 0.1 s 2 items have been preempted

  # Guards against batch items that take a slot for which an online request waits.
  Scenario: Batch gets slots in order of urgency and after online requests
    Given a coordinator of 4 daemons before 1 targets of 8 slots
    And 9 online requests that fill it and 1 that waits
    When a normal and an urgent batch item request slots
    And 5 slots become free
    Then the waiting request has been granted a slot before the items
    And the urgent item has been granted a slot before the normal one

  # Guards against an urgent item that takes the only slot an online request waits for.
  Scenario: A slot that becomes free goes to the waiting online request
    Given a coordinator of 4 daemons before 1 targets of 8 slots
    And 9 online requests that fill it and 1 that waits
    When an urgent batch item requests a slot and 1 slot becomes free
    Then the waiting request has been granted it and the item has not

  # Pattern: targets stop answering during a burst. Guards against a failure that each of
  # many daemons has to detect for itself.
  Scenario Outline: A target that several daemons have seen fail is avoided for all
    Given a coordinator of 12 daemons before 2 targets of 8 slots
    When <witnesses> daemons that avoid the first target request slots
    And 6 other daemons request slots
    Then the first target has <count> requests

    Examples:
      | witnesses | count |
      | 0         | 3     |
      | 1         | 3     |
      | 2         | 0     |

  # Pattern: a daemon is stopped, or its jobs end, while it requests slots. Guards against
  # slots that stay held for items that no longer exist.
  Scenario: A daemon that has no more items releases its slots
    Given a daemon that has requested 3 slots for batch items and got 2 of them
    When it has no more items
    Then it holds no slot and has released all 3

  # Guards against a stop that lets requests wait at a coordinator until they are cut, and
  # against slots that stay held for them there.
  Scenario: A daemon that stops refuses its requests that wait at a coordinator
    Given a daemon that has requested 0 slots for batch items and got 0 of them
    When it stops while 3 of its online requests wait for a coordinator's answer
    Then the 3 requests are refused at once
    And it holds no slot and has released all 3

  # Guards against a slot at another software version than the one that a stream began at,
  # against requests of one version that wait behind those of another one, and against
  # waiting for a version that no target serves.
  Scenario: Slots are granted at the version that a stream needs
    Given a coordinator of 24 daemons before 4 targets of 8 slots, of v1 and v2 by turns
    When each daemon requests a slot at v2, and then one at v1
    Then 18 slots are granted at each version, and the other requests wait
    And a request for a slot at v3 is refused at once
