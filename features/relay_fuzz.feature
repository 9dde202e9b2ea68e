Feature: The relay keeps its guarantees under failures in any order

  Scenario: Fuzzing of the relay finds no fault
    When the relay is fuzzed with 400 examples of 40 steps
    Then the fuzzing of the relay ran at least 3000 steps without a fault

  Scenario Outline: The fuzzing detects a broken relay
    When a relay that <fault> is fuzzed
    Then the fuzzing of the relay reports "<text>"

    Examples:
      | fault                                  | text             |
      | passes a break off as the end          | not the whole    |
      | repeats what another run has sent      | mixed            |
      | does not compare a second run          | mixed            |
      | does not cancel abandoned attempts     | still running    |
      | says not-run after any failure         | not-run          |
