Feature: Batch items in flight hold no threads

  Scenario: Two hundred items wait for their answers with few threads
    # Guards against a thread per item: a daemon would need 213 at the target size.
    Given an item engine that answers only when it is told to
    When 200 items are sent to it with a timeout of 60 seconds
    Then all of them reach the engine while at most 24 more threads run
    When the engine answers
    Then 200 items end as "answered"

  Scenario Outline: An item whose answer does not come ends once
    # Guards against items that stay in flight forever, and against two outcomes.
    Given an item engine that <behaviour>
    When 20 items are sent to it with a timeout of 1 seconds
    Then 20 items end as "<outcome>"

    Examples:
      | behaviour                                | outcome     |
      | never answers                            | broken      |
      | closes each connection without an answer | broken      |
      | stops in the middle of its answer        | broken      |
      | is not there                             | unreachable |

  Scenario: Stopping closes the calls in flight
    # Guards against a daemon that can't exit while engines are busy.
    Given an item engine that never answers
    When 20 items are sent to it with a timeout of 60 seconds
    And the calls are stopped once the engine has them
    Then the engine sees all connections closed within 2 seconds
