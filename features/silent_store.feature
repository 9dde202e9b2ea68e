Feature: One daemon loses the store without a connection error

  A link that drops all traffic leaves connections open, so no error tells the daemon
  that the store is unreachable (F4, F9). Other daemons still reach the store.

  Scenario: Online requests do not wait for a silent store
    Guards against access to the table service on the path of online requests.
    Given a fleet of 2 daemons with a link to the store each
    When the link of the daemon 0 goes silent
    Then 20 online requests at the daemon 0 are each complete within 3 seconds

  Scenario: An at-most-once call is refused in time while the store is silent
    Guards against a caller that waits for several store timeouts in sequence although
    the call was abandoned (P10), and against a false not-run (P5).
    Given a fleet of 2 daemons with a link to the store each
    When the link of the daemon 0 goes silent
    And a caller posts an order with the key "silent-1" to the daemon 0
    Then the call is refused as "not-run" with Retry-After
    And the answer took at most 7 seconds
    And no service has run the order "silent-1"

  Scenario: A daemon behind a silent link recovers after the link is back
    Guards against calls that hang on the connections that were silent.
    Given a fleet of 2 daemons with a link to the store each
    When the link of the daemon 0 goes silent for 2 seconds
    And a caller posts an order with the key "later-1" to the daemon 0
    Then the call is answered with status 200
    And the services have run the order "later-1" once
