Feature: A configuration is applied by all daemons within seconds and never reverts

  Scenario: Fuzzing finds no feed that goes back or is current without a reason
    # Guards against old messages, late answers, restarts and pauses.
    When "feed" is fuzzed with 60 examples of 40 steps
    Then the fuzzing ran at least 1000 steps

  Scenario Outline: The fuzzing rejects a broken feed
    # Guards against fuzzing that passes regardless of the code.
    Then the fuzzing rejects the broken "<machine>" within 60 examples

    Examples:
      | machine       |
      | obedient feed |
      | hasty feed    |

  Scenario: A change reaches 9 real members within 3 seconds
    # Guards against slow polling, lost gossip and slow fetches.
    Given 9 members with CURVE keys that have joined
    When a configuration is published 3 times
    Then all members applied each revision within 3 seconds
    And all zones confirm the last revision within 5 seconds

  Scenario: A message with an old revision does not replace a newer one
    # Guards against a peer that sends documents of an earlier revision.
    Given 3 members with CURVE keys that have joined
    When a configuration is published 2 times
    And a peer sends the documents of revision 1 to all members
    Then all members keep revision 2

  Scenario: A member that restarts while the store is down asks its peers
    # Guards against a daemon that starts without a configuration or with an old one.
    Given 9 members with CURVE keys that have joined
    When a configuration is published 2 times
    And the store goes down and the member 4 restarts
    Then the member 4 is ready with revision 2 within 10 seconds

  Scenario: A member that restarts while the store and most of its zone are down waits
    # Guards against a stale answer from the only reachable peer.
    Given 9 members with CURVE keys that have joined
    When a configuration is published 2 times
    And the store goes down, the other members of its zone stop, and the member 4 restarts
    Then the member 4 is not ready within 5 seconds
    And the member 4 is ready with revision 2 within 10 seconds after the store is back

  Scenario: A zone is confirmed only when every alive daemon has applied the revision
    # Guards against a publish that is reported accepted too early.
    Given 3 alive daemons of a zone, one of which has applied an older revision
    Then the zone confirms the older revision
    And a zone with a daemon that has not reported confirms nothing
    And a later confirmation never lowers an earlier one, whatever the store does

  Scenario: A peer with an unknown key gets no answer
    # Guards against messages from a host that is not one of the daemons.
    Given 3 members with CURVE keys that have joined
    When a peer with an unknown key and a plain peer send to each member for 2 seconds
    Then neither gets an answer and the members' tables are unchanged

  Scenario Outline: A daemon with an allowed key speaks for itself only
    # Guards against a host that impersonates another daemon.
    Given 3 members whose names are bound to their CURVE keys
    When a host with the key of "d1" sends a cancel as "<sender>" from "<origin>"
    Then the member <result>

    Examples:
      | sender   | origin | result                                   |
      | d1       | d1     | takes the cancel                         |
      | d2       | d2     | drops the cancel and counts a wrong name |
      | d1       | d2     | drops the cancel and counts a wrong name |
      | outsider | d1     | drops the cancel and counts a wrong name |

  Scenario: Malformed and oversized messages are counted and dropped
    # Guards against a cluster thread that stops on invalid input.
    Given 3 members with CURVE keys that have joined
    When an allowed peer sends 200 malformed messages
    Then the messages are counted as malformed and the member still answers

  Scenario: A slow store delays no probes
    # Guards against blocking store calls on the thread that answers probes.
    Given 3 members with CURVE keys that have joined
    When every store call takes 6 seconds for 12 seconds
    Then no member was declared dead

  Scenario: A broadcast reaches every member once
    # Guards against broadcasts that reach members twice or not at all.
    Given 9 members with CURVE keys that have joined
    When the member 0 broadcasts 5 messages
    Then every other member gets each of them once within 3 seconds

  Scenario: A restarted member gets answers on the connection that it asked on
    # Guards against answers sent over a connection to the process before its restart.
    Given a member that a peer has connections with in both directions
    When the member restarts and asks on the connection that the peer opened
    Then the peer's answer reaches it within 2 seconds
