Feature: Daemons detect dead daemons and declare no healthy one dead

  Scenario Outline: A killed daemon is detected by all within 5 seconds
    # Guards against watchers that miss a member, and against slow dissemination.
    Given <count> members in <zones> zones of 2 regions with 5% loss and 200 ms pauses, seed <seed>
    When 3 members in turn are killed
    Then every running member has detected each death within 5 seconds
    And no running member was declared dead

    Examples:
      | count | zones | seed |
      | 9     | 3     | 11   |
      | 9     | 3     | 12   |
      | 340   | 4     | 13   |

  Scenario Outline: Message loss and short pauses cause no false positive
    # Guards against suspicion that is not refuted in time.
    Given <count> members in <zones> zones of 2 regions with 5% loss and 200 ms pauses, seed <seed>
    When <duration> simulated seconds pass
    Then no running member was declared dead
    And every running member sees exactly the running members

    Examples:
      | count | zones | seed | duration |
      | 9     | 3     | 21   | 600      |
      | 9     | 3     | 22   | 600      |
      | 340   | 4     | 23   | 60       |

  Scenario: A daemon that resumes after a pause declares nobody dead
    # Guards against timers that expire while the own process is not running.
    Given 9 members in 3 zones of 2 regions with 0% loss and 0 ms pauses, seed 31
    When a member is paused for 1.9 seconds 20 times
    Then no running member was declared dead

  Scenario: A daemon that was paused for long returns to all views
    # Guards against a death report that can't be refuted.
    Given 9 members in 3 zones of 2 regions with 5% loss and 0 ms pauses, seed 32
    When a member is paused for 30 seconds
    Then the paused member was declared dead, and nobody else
    And within 10 seconds every running member sees exactly the running members

  Scenario: Half of the members are replaced at once
    # Guards against gossip that breaks down when half of all links are dead.
    Given 340 members in 4 zones of 2 regions with 5% loss and 0 ms pauses, seed 41
    When half of the members are killed and as many join
    Then each death was detected by some member within 5 seconds
    And within 20 seconds every running member sees exactly the running members
    And no running member was declared dead

  Scenario: The loss of half of 340 members is known to each member in time
    # Guards against gossip that leaves out members whose links have mostly died.
    Given 340 members in 4 zones of 2 regions with 5% loss and 200 ms pauses, seed 42
    When half of the members are killed at once
    Then every running member has detected each death within 5 seconds

  Scenario: A region is partitioned and comes back
    # Guards against false deaths across a partition, and against views that do not
    # converge afterwards.
    Given 9 members in 3 zones of 2 regions with 0% loss and 0 ms pauses, seed 51
    When the link between the regions is cut for 60 seconds and a member of each region dies
    Then no running member was declared dead
    And within 20 seconds every running member sees exactly the running members

  Scenario: A daemon that is leaving is not seen as alive again
    # Guards against a stale update that makes a leaving daemon alive again.
    Given 9 members in 3 zones of 2 regions with 5% loss and 200 ms pauses, seed 61
    When a member announces that it is leaving
    Then within 3 seconds every running member sees it leaving
    And it is not seen as alive in the next 30 seconds

  Scenario: A daemon that the platform lists as leaving does not refute it
    # Guards against a daemon that refutes what only the platform can know.
    Given 9 members in 3 zones of 2 regions with 5% loss and 200 ms pauses, seed 62
    When another member reads that it is leaving
    Then within 3 seconds every running member sees it leaving
    And it is not seen as alive in the next 30 seconds

  Scenario: Views converge although messages are lost, duplicated and late
    When "membership" is fuzzed with 60 examples of 30 steps
    Then the fuzzing ran at least 1000 steps
    And the fuzzing rejects the broken "forgetful membership" within 25 examples
