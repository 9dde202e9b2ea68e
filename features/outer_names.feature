Feature: Names that leave the process stay as they are
  Guards against a renamed field, log key, metric, header or path, which other
  builds, clients, stored data and operators' tools would no longer understand.

  Scenario: The committed list and the code agree
    When the names that leave the process are collected from the sources
    Then they are the names in the committed list

  Scenario Outline: A renamed <kind> is noticed
    Given a module with the <kind> "<name>"
    And a list of the names of that module
    When the <kind> is renamed to "other_name"
    Then the comparison names "<name>" as gone

    Examples:
      | kind          | name        |
      | log event     | job_deleted |
      | log key       | took_ms     |
      | metric label  | run_state   |
      | setting       | grace_s     |
      | header        | retry-after |
