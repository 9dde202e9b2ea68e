Feature: Inconclusive responses of the platform are reported as unknown outcomes

  Scenario Outline: A response to a write is reported as no more than it proves
    Guards against a write that took effect being reported as not applied.
    Given a table service that responds to every call with status <status> and "<body>"
    When a transaction is sent
    Then the transaction's error is "<error>"

    Examples:
      | status | body           | error                |
      | 502    | bad gateway    | StoreOutcomeUnknown  |
      | 503    | unavailable    | StoreOutcomeUnknown  |
      | 200    | {"revision":   | StoreOutcomeUnknown  |
      | 409    | {}             | StoreOutcomeUnknown  |
      | 429    | slow down      | StoreOverloaded      |

  Scenario: A connection that the server closes without a response leaves the outcome open
    Guards against resending a transaction on a reused connection that was closed.
    Given a table service that closes each connection after reading the request
    When a transaction is sent
    Then the transaction's error is "StoreOutcomeUnknown"
    And the table service has seen 1 transaction

  Scenario: A refused connection proves that nothing was applied
    Given a table service address where nothing listens
    When a transaction is sent
    Then the transaction's error is "StoreUnavailable"
