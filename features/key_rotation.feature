Feature: CURVE keys of daemons change while the daemons run

  Scenario: A key that was taken out gets nothing any more
    # Guards against connections that outlive the key that opened them.
    Given a member that allows a peer's key and has connections with it in both directions
    When the member removes the peer's key
    Then both connections are closed within 3 seconds and the peer receives nothing

  Scenario: Three daemons get new keys in turn
    # Guards against daemons that reject each other during a rotation, and against an
    # invalid settings file that changes the lists of allowed keys.
    Given 3 running daemons with keys of their own
    When each daemon gets an invalid settings file and SIGHUP
    Then each has rejected the file and none is declared dead
    When each daemon in turn gets a new key as the operations page describes
    Then each was seen alive within 5 seconds of its restart, and at all other times
    And every daemon has received answers after each step
