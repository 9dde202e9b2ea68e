Feature: The load tool counts what callers would see

  This tool measures the latency objectives. A tool that waits for a slow system before
  it sends the next call, or that counts truncated responses as complete, would report
  objectives as met that are not.

  Scenario: The schedule depends on the seed alone
    Guards against runs that cannot be repeated.
    Given an experiment of 20 calls a second for 10 seconds with the seed 5
    Then making the schedule twice gives the same arrivals
    And the seed 6 gives other arrivals
    And there are between 150 and 250 arrivals

  Scenario: A change of the rate takes effect at its time
    Guards against a burst that is spread over the whole experiment.
    Given an experiment of 2 calls a second at equal gaps for 10 seconds
    And the rate is 20 calls a second from 4 to 6 seconds
    Then 8 arrivals are before 4 seconds, 40 from 4 to 6 seconds and 8 after

  Scenario: A pause of the engine counts for the calls that were due in it
    Guards against a tool that stops sending while the system is paused.
    Given an experiment of 50 calls a second at equal gaps for 3 seconds
    And an engine for the load tool
    When the experiment runs while the engine is paused from 1 to 2 seconds
    Then all calls are complete
    And at least 43 calls took longer than 100 milliseconds
    And the longest call took at least 900 milliseconds

  Scenario: A truncated response is not complete
    Guards against truncated responses that count as complete.
    Given an experiment of 10 calls a second at equal gaps for 1 second
    And an engine for the load tool
    And the engine breaks one stream after 3 tokens
    When the experiment runs
    Then all calls but 1 are complete
    And the problem of the other is a broken connection

  Scenario: A wrong answer is not complete
    Guards against a response to another prompt that counts as complete.
    Given an experiment of 10 calls a second at equal gaps for 1 second
    And an engine for the load tool
    When the experiment runs
    And one token of an answer is replaced
    Then that answer is a wrong answer

  Scenario: Refusals are counted with their run state
    Guards against refusals that lower the measured latency.
    Given an experiment of 10 calls a second at equal gaps for 1 second
    And an engine for the load tool
    And the engine rejects 4 calls
    When the experiment runs
    Then all calls but 4 are complete
    And 4 calls are refused as "503 not-run"

  Scenario: A value above its target is reported and fails the measurement
    Guards against a bar that cannot fail.
    Given a bar with the target 1.05
    Then the value 1.051 does not hold and is printed so
    And the value 1.05 holds
