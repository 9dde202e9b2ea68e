Feature: Load reports of the engines are polled at a limited rate

  Scenario: Each candidate is polled about once a second
    Given three engines whose loads are polled
    When 4 seconds pass
    Then each engine has reported between 2 and 6 times
    And only the engine of the other region has used the link

  Scenario: An unresponsive engine does not delay the reports of the others
    Guards against polls that wait behind a target that accepts and never answers.
    Given three engines whose loads are polled
    When the first engine stops answering and 4 seconds pass
    Then the other engines have reported at least 2 times since

  Scenario: A draining engine is no longer polled
    Given three engines whose loads are polled
    When the first engine is draining and 4 seconds pass
    Then the first engine has reported at most 1 more time

  Scenario: Cache events are fetched only where online requests may go
    Guards against control traffic for data that is not used.
    Given an engine behind a link that is polled only for batch
    When 7 seconds pass
    Then the engine has reported at least 4 times
    And no bytes were transferred beyond those of the reports
