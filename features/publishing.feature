Feature: Operators publish configuration without losing each other's changes

  Background:
    Given an empty table store
    And a published fleet with zones "zone-a zone-b" and the organisation "orchard"

  Scenario: Publishers of different services do not disturb each other
    Guards against a lost update when two publishers start from the same head.
    Given two publishers that have read the head
    When publisher 1 publishes service "chat" with 2 targets
    And publisher 2 publishes service "summary" with 3 targets
    Then both publishes succeed
    And the services in force are "chat summary"
    And the revision is 3

  Scenario: Publishers that race on one service get a typed conflict
    Guards against the second of two conflicting changes silently replacing the first.
    Given publisher 1 has put service "chat" with 1 target into force
    And two publishers that have read the head
    When publisher 1 publishes service "chat" with 2 targets
    And publisher 2 publishes service "chat" with 3 targets
    Then publisher 2 gets a conflict on "services/chat" from version 2 to version 3
    And service "chat" has 2 targets in force

  Scenario: A lost response does not publish twice and is not reported as a conflict
    Guards against a publisher that mistakes its own write for one of another publisher.
    Given two publishers that have read the head
    When the next write takes effect and its response is lost
    And publisher 1 publishes service "chat" with 2 targets
    Then both publishes succeed
    And the revision is 2

  Scenario: A lost response is resolved although another publisher changed the head
    Guards against reading back the head row, which other publishers overwrite.
    Given two publishers that have read the head
    When the next response is lost and publisher 1 publishes "chat" before the read back
    And publisher 2 publishes service "summary" with 3 targets
    Then both publishes succeed
    And the services in force are "chat summary"

  Scenario: A document that is removed and added again gets a new version
    Guards against a daemon that keeps the old content because the version repeats.
    Given publisher 1 has put service "chat" with 1 target into force
    When publisher 1 removes service "chat"
    And publisher 1 publishes service "chat" with 4 targets
    Then a reader that knew the first version sees 4 targets

  Scenario: Documents with dangling references are rejected as a whole
    Guards against a partially applied publish.
    When a service "chat" with a target in zone "zone-x" for "nobody" is published
    Then the publish is rejected with problems at
      | key               |
      | organisations     |
      | targets.chat-0.zone |
    And the revision is 1

  Scenario: Random publishers with a failing store never lose an accepted change
    When 300 random publishes run with seed 20260204 against a store that fails
    Then every publish that reported success was in force at its revision
    And revisions only grow by one for each applied publish

  Scenario Outline: The command reports every problem in a file
    Guards against invalid input that is partially applied or reported unclearly.
    Given a configuration folder with the file "<file>"
    When endivevanectl validates the folder
    Then the exit code is 3
    And standard error names "<file>" and "<text>"

    Examples:
      | file                           | text                            |
      | malformed.endivevane.toml      | at line 7                       |
      | unknown-key.endivevane.toml    | online.deadline                 |
      | wrong-unit.endivevane.toml     | online.deadline_s               |
      | duplicate-target.endivevane.toml | 'chat-1' appears twice        |
      | no-kind.endivevane.toml        | kind                            |
      | bad-address.endivevane.toml    | targets.0.address               |

  Scenario Outline: Online requests and batch jobs find an adapter by the same name
    Guards against a batch job that is accepted but never run because the runner looks
    up the adapter under another name than the HTTP interface.
    Given publisher 1 has put service "chat" with the adapter "tuned" into force
    Then "<organisation>" finds "<model>" at service "<service>"

    Examples:
      | organisation | model             | service |
      | orchard      | chat-model        | chat    |
      | orchard      | chat-model:tuned  | chat    |
      | orchard      | chat-model:other  | none    |
      | orchard      | tuned             | none    |
      | nobody       | chat-model:tuned  | none    |
