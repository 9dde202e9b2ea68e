Feature: The operators' command inspects and controls the daemons

  Background:
    Given a fleet for operators with 2 daemons, 2 engines and 1 plain service

  Scenario: Query commands print JSON
    Guards against output that programs can't parse.
    When endivevanectl runs "status", "services", "targets" and "jobs list" as JSON
    Then each output is one JSON object
    And the status names both daemons as alive and a revision above 0
    And the targets have reported their slots

  Scenario: A request can be explained after it has ended
    Guards against request ids for which nothing is recorded.
    When a caller completes a chat
    Then "explain" with its request id shows the target, the attempts and the outcome
    And "explain" with an unknown request id fails with exit code 1 and says so

  Scenario: A second publish replaces the first and one without the store fails
    Guards against a failed publish that looks like a success.
    When the same service is published from two different files
    Then the second publish changes it to the second file's content
    And a publish while the table service is down ends with exit code 5

  Scenario: Drain stops one daemon and the other keeps serving
    Guards against a drain that cuts off requests or never ends.
    When endivevanectl drains the first daemon
    Then the first daemon ends with status 0 within 10 seconds
    And the second daemon answers requests

  Scenario: Operators' routes reject other keys
    Guards against operators' routes that are open to callers.
    When "status" runs with a caller's key
    Then the exit code of the command is 1 and standard error mentions "role 'operator'"
    When "status" runs with an unknown key
    Then the exit code of the command is 1 and standard error mentions "not known"

  Scenario: Metrics count refusals by reason and run state
    Guards against refusals that are not visible in the metrics.
    When a caller asks for an unknown model
    Then the metrics show one refusal "model_not_found" with "not-run"
