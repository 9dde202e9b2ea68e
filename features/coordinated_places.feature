Feature: The coordinator of a large region gives out the places of its targets

  # Pattern: a pulse over many daemons, each with less than one request in flight.
  # Guards against targets that are overfilled because no daemon knows what the others do.
  Scenario Outline: A pulse over many daemons fills the targets evenly
    Given a coordinator of <daemons> daemons before <targets> targets of 8 slots
    When each daemon asks for <each> places at once
    Then no target has more than 9 requests and the fullest one 1 more than the emptiest
    And <granted> places are given and <rest> requests wait or are refused

    Examples:
      | daemons | targets | each | granted | rest |
      | 98      | 15      | 1    | 98      | 0    |
      | 170     | 15      | 1    | 135     | 35   |
      | 340     | 40      | 1    | 340     | 0    |

  # Pattern: a pulse that does not fit. Guards against places that go to late requests, or
  # by the luck of the daemon that holds a request, while a timely one waits elsewhere.
  Scenario: One queue for all daemons
    Given a coordinator of 20 daemons before 1 targets of 8 slots
    When each daemon asks for 1 places at once
    And a daemon asks for a request that is late, and another one for an urgent one
    And 2 places become free
    Then the urgent request has got one of them and the late one none

  # Guards against two places for one request when an answer of the coordinator is lost.
  Scenario: A request whose answer was lost asks again and keeps its place
    Given a coordinator of 2 daemons before 2 targets of 8 slots
    When a daemon asks for the same request 3 times
    Then it has been given the same place 3 times and 1 request counts

  # Pattern: the coordinator is killed in a pulse. Guards against a deputy that gives the
  # places that are held a second time.
  Scenario: A deputy that takes over knows what is held
    Given a coordinator of 30 daemons before 4 targets of 8 slots
    When each daemon asks for 1 places at once
    And all daemons report what they hold to a deputy
    Then the deputy counts the same requests on each target
    And the deputy gives at most 6 more places

  # Guards against places that stay taken for ever when the end of a request is lost, and
  # against those that are freed because a report crossed the answer that gave them.
  Scenario Outline: What a daemon no longer names is free after a moment
    Given a coordinator of 2 daemons before 1 targets of 8 slots
    When a daemon gets 3 places and reports <after> s later that it holds none
    Then <count> requests count on the target

    Examples:
      | after | count |
      | 0.05  | 3     |
      | 0.4   | 0     |

  # Guards against places of daemons that are gone.
  Scenario Outline: The places of a daemon that <fate> are free
    Given a coordinator of 2 daemons before 1 targets of 8 slots
    When a daemon gets 3 places and <fate>
    Then 0 requests count on the target

    Examples:
      | fate              |
      | is silent for 2 s |
      | starts again      |

  # Pattern: a pulse meets targets full of batch. Guards against pulses that break off all
  # items at once when fewer would do, and against items told to leave twice.
  Scenario: Only as many items leave as online requests need
    Given a coordinator of 10 daemons before 1 targets of 8 slots
    When 6 daemons run a batch item there and 4 get a place for an online request
    Then after 0.05 s 2 items have been asked to leave
    And after 0.1 s 2 items have been asked to leave

  # Guards against batch that takes the place for which an online request waits.
  Scenario: Batch gets places in order of urgency and behind online requests
    Given a coordinator of 4 daemons before 1 targets of 8 slots
    And 9 online requests that fill it and 1 that waits
    When a normal and an urgent batch item ask for places
    And 5 places become free
    Then the waiting request has got a place before the items
    And the urgent item has got a place before the normal one

  # Guards against an urgent item that takes the one place which an online request waits for.
  Scenario: A place that becomes free goes to the request that waits
    Given a coordinator of 4 daemons before 1 targets of 8 slots
    And 9 online requests that fill it and 1 that waits
    When an urgent batch item asks for a place and 1 place becomes free
    Then the waiting request has got it and the item has not

  # Pattern: targets go dark in a pulse. Guards against a failure that each of many daemons
  # has to see for itself.
  Scenario Outline: What several daemons have seen fail is avoided for all
    Given a coordinator of 12 daemons before 2 targets of 8 slots
    When <witnesses> daemons that avoid the first target ask for places
    And 6 other daemons ask for places
    Then the first target has <count> requests

    Examples:
      | witnesses | count |
      | 0         | 3     |
      | 1         | 3     |
      | 2         | 0     |

  # Pattern: a daemon is stopped, or its jobs end, while it asks for places. Guards against
  # places that stay taken for items which will not come.
  Scenario: A daemon that has no more items gives its places back
    Given a daemon that has asked for 3 places for batch items and got 2 of them
    When it has no more items
    Then it holds no place and has given up all 3
