Feature: Sharing the outcomes of targets among daemons

  # A few targets report themselves healthy but fail every request at once. Guards
  # against such targets attracting the requests of every daemon because they always
  # have free slots: one day 290 of 5,200 requests were lost at two of 26 targets.
  Scenario Outline: Targets that fail at once do not attract the load
    Given 24 daemons and 12 targets, of which <bad> <manner>
    When 90 requests per second arrive for 6 s, with reports every 0.1 s
    Then at most <most> requests fail

    Examples:
      | bad | manner                             | most |
      | 1   | fail every request at once         | 27   |
      | 2   | fail every request at once         | 54   |
      | 2   | fail two of five requests at once  | 54   |

  # The fault of a target ends after some seconds. Guards against targets that stay
  # ejected.
  Scenario: A target that recovers gets its share of requests back
    Given 24 daemons and 12 targets, of which 1 fail every request at once
    When 90 requests per second arrive for 6 s, with reports every 0.1 s
    And the failing targets recover
    And 90 requests per second arrive for 8 s, with reports every 0.1 s
    Then each target has served at least 20 requests in the last 4 s

  # Guards against ejecting healthy targets because the network path of one daemon is
  # broken.
  Scenario: One daemon alone can't eject a target
    Given 2 targets of 8 slots
    And one peer reports 50 failed responses of the first target
    Then the first target still gets work when the second is full

  # Guards against an equal share for a target whose failure rate is below the ejection
  # limit.
  Scenario: A target that fails some of its requests gets less work
    Given 2 targets of 8 slots
    And one peer reports 2 failed responses of the first target
    Then at most 5 of 100 online requests go to the first target while both are idle

  # Guards against a service left without targets when its responses fail for another
  # reason.
  Scenario: No target is ejected when most of them fail
    Given 3 targets of 8 slots
    And 6 peers each report 2 failed responses of the first 2 targets
    Then no target is ejected
    When 6 peers each report 2 failed responses of the first 1 targets
    Then the first target is ejected

  # A target that has become slow answers every request late. Guards against using its
  # slots for late responses while other slots are free.
  Scenario: A target whose first events come late counts as failing
    Given 2 targets of 8 slots
    When 6 first events of the first target take 250 ms, and others 60 ms
    Then the first target is ejected

  # Guards against counting a request's own timeout as a failure of the target.
  Scenario Outline: Outcomes that count against a target
    Given 2 targets of 8 slots
    When a response of the first target is <answer>
    Then it <counts> against the target

    Examples:
      | answer                                | counts         |
      | status 500                            | counts         |
      | status 504                            | does not count |
      | status 404                            | does not count |
      | broken off                            | counts         |
      | missing, on a connection kept idle    | does not count |
      | missing, as there is no connection    | does not count |

  # Guards against outcomes lost in the encoding of reports.
  Scenario: A report carries the failures that a daemon has observed
    When a daemon with 2 failures in 5 responses of "t1" reports to another one
    Then the other daemon counts 2 failures in 5 responses of "t1"
    And after 2 s without a report it counts none
