Feature: What daemons tell each other of the answers of targets

  # Pattern: a few targets say that they are well and fail all that they get, at once.
  # Guards against targets that attract the requests of every daemon since they always
  # have room: one day lost 290 requests of 5,200 at two of 26 targets.
  Scenario Outline: Targets that fail at once do not attract the load
    Given 24 daemons before 12 targets of which <bad> <manner>
    When 90 requests a second come for 6 s, and reports are 0.1 s old
    Then at most <most> requests fail

    Examples:
      | bad | manner                             | most |
      | 1   | fail every request at once         | 27   |
      | 2   | fail every request at once         | 54   |
      | 2   | fail two of five requests at once  | 54   |

  # Pattern: the fault of a target ends after some seconds.
  # Guards against targets that stay ejected.
  Scenario: A target that is sound again gets its share back
    Given 24 daemons before 12 targets of which 1 fail every request at once
    When 90 requests a second come for 6 s, and reports are 0.1 s old
    And the failing targets are sound again
    And 90 requests a second come for 8 s, and reports are 0.1 s old
    Then each target has served at least 20 requests in the last 4 s

  # Guards against good targets that are ejected because one daemon's path is broken.
  Scenario: One daemon alone can't eject a target
    Given 2 targets of 8 slots
    And one peer has seen 50 answers of the first target fail
    Then the first target still gets work when the second is full

  # Guards against an equal share for a target that fails less than ejects it.
  Scenario: A target that fails some of its answers gets less work
    Given 2 targets of 8 slots
    And one peer has seen 2 answers of the first target fail
    Then at most 5 of 100 online requests go to the first target while both are idle

  # Guards against a service without targets when something else breaks its answers.
  Scenario: No target is ejected when most of them fail
    Given 3 targets of 8 slots
    And 6 peers have each seen 2 answers of the first 2 targets fail
    Then no target is ejected
    When 6 peers have each seen 2 answers of the first 1 targets fail
    Then the first target is ejected

  # Pattern: a target that has become slow answers all it gets, late.
  # Guards against a place that is taken for answers of little use while others are free.
  Scenario: A target whose first events come late counts as failing
    Given 2 targets of 8 slots
    When 6 first events of the first target come after 250 ms, and others after 60 ms
    Then the first target is ejected

  # Guards against blame on a target for the time limit of a request.
  Scenario Outline: What counts against a target
    Given 2 targets of 8 slots
    When an answer of the first target is <answer>
    Then it <counts> against the target

    Examples:
      | answer                                | counts         |
      | status 500                            | counts         |
      | status 504                            | does not count |
      | status 404                            | does not count |
      | broken off                            | counts         |
      | missing, on a connection kept idle    | does not count |
      | missing, as there is no connection    | does not count |

  # Guards against reports that lose what they say on the way.
  Scenario: A report carries what a daemon has to say against targets
    When a daemon that has seen 2 of 5 answers of "t1" fail reports to another one
    Then the other daemon counts 2 failures of 5 answers of "t1"
    And after the daemon has been silent for 2 s it counts none
