Feature: The daemons of a large region find, use and replace their coordinator

  # Guards against daemons that use different coordinators, and against message traffic
  # per daemon that grows with the number of daemons.
  Scenario Outline: One coordinator, at a cost that does not grow with the daemons
    Given a region of <daemons> daemons and 4 targets
    When they run for 2 s
    Then all of them have the same coordinator
    And all of them know that the others are alive
    And every other daemon but the deputy has had at most 12 datagrams and 3000 bytes a second

    Examples:
      | daemons |
      | 20      |
      | 60      |

  # Pattern: the coordinator fails during a burst, in different ways.
  # Guards against requests that wait for a daemon that will not answer.
  Scenario Outline: Requests go to the deputy when the coordinator <fate>
    Given a region of 20 daemons and 4 targets
    When the coordinator <fate> and each other daemon requests a slot
    Then 18 slots are granted within 150 ms each, all by the deputy
    And no target has more than 9 of them

    Examples:
      | fate              |
      | is killed         |
      | stands still      |
      | hears nothing     |
      | can say nothing   |

  # Guards against daemons that suspect a sound coordinator and ask its deputy, because
  # they stood still themselves while the answers were on their way.
  Scenario: A coordinator is not suspected by daemons that stood still themselves
    Given a region of 20 daemons and 4 targets
    When each other daemon requests a slot and their process stands still for 60 ms
    Then 18 slots are granted, all by the coordinator

  # Guards against requests that get no slot at all while no coordinator answers.
  Scenario: Daemons choose targets by their own view when no coordinator answers
    Given a region of 20 daemons and 4 targets
    When all daemons but one are killed and it requests a slot
    Then it gets a slot within 300 ms

  # Pattern: many daemons are killed at once. Guards against dead daemons that others
  # consider alive, so that their jobs are not taken over, and the other way round.
  Scenario: All daemons know who is alive after many were killed
    Given a region of 40 daemons and 4 targets
    When 20 daemons, the coordinator and its deputy among them, are killed
    Then within 5 s all others know who is alive and have the same coordinator
    And none of them has considered a live daemon dead

  # Pattern: a hand-over between two coordinators. Guards against messages that are acted
  # on twice while both coordinate: a slot that is held twice, or a preempted item whose
  # slot another item has got since.
  Scenario: Two coordinators that both act grant each request one slot
    Given a region of 20 daemons and 4 targets
    When the coordinator is paused for 1.5 s during a burst and then continues
    Then each request has had one slot
    And 2 s after the burst all coordinators count no request

  # Guards against an announcement of a stop that reaches nobody, and against a stopping
  # coordinator that continues to coordinate.
  Scenario: A coordinator that stops is replaced at once
    Given a region of 20 daemons and 4 targets
    When the coordinator announces that it stops
    Then within 1 s all others have another one

  # Pattern: many daemons restart at once. Guards against notices that list each of them
  # for ever, which would cost each daemon several kilobytes a second.
  Scenario Outline: Notices list only daemons that are not registered in the store yet
    Given a daemon that restarts
    When its row arrives <when> its first report
    Then the notices list it as an unregistered peer: <named>

    Examples:
      | when     | named |
      | before   | no    |
      | after    | no    |
      | never to | yes   |

  # Guards against jobs of a daemon that restarts at once and that nobody takes over, since
  # all others consider its former run alive (LOST on sweep-100 of the large site).
  Scenario: A daemon that restarts at once is known by its new run
    Given a daemon that restarts
    When notices list nobody as unresponsive before and after its new row
    Then its new run is alive and its former run is not

  # Guards against jobs that lie unowned since a coordinator, which has the row of a new run
  # but no report of it yet, tells all others that the former run is alive (LOST on
  # quetzal-lanyard-grown).
  Scenario: A notice sent between the row of a new run and its first report does no harm
    Given a coordinator that knows a daemon by its reports
    When the daemon restarts, and its row reaches all others before its first report
    And the coordinator sends a notice before that report, and one after it
    Then its new run is alive and its former run is not
    When a notice of an earlier build names the former run as unregistered
    Then its new run is alive and its former run is not

  # Guards against a delayed message that brings back a run which has ended.
  Scenario Outline: A message of a former run that arrives late is ignored
    Given a daemon that restarts
    When its row arrives after its first report
    And <message> of its former run arrives late
    Then its new run is alive and its former run is not

    Examples:
      | message  |
      | a row    |
      | a report |
