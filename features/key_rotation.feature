Feature: CURVE keys of daemons change while the daemons run

  Scenario: A key that was taken out gets nothing any more
    # Guards against connections that outlive the key that opened them.
    Given a member that lists a peer's key and has connections with it in both directions
    When the member takes the peer's key out
    Then both connections are closed within 3 seconds and the peer gets nothing

  Scenario: Three daemons get new keys in turn
    # Guards against daemons that refuse each other during a rotation, and against a
    # wrong settings file that changes the lists in force.
    Given 3 running daemons with keys of their own
    When a wrong settings file and SIGHUP reach each daemon
    Then each has refused the file and none is declared dead
    When each daemon in turn gets a new key as the operations page says
    Then each was seen alive within 5 seconds of its restart, and always otherwise
    And every daemon has had answers after each step
