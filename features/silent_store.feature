Feature: One daemon loses the store without any connection breaking

  A link that passes nothing on leaves connections open: no error tells the daemon that
  the store is gone (F4, F9). Other daemons still reach it.

  Scenario: Online requests do not wait for a silent store
    Guards against a request path that reads or writes the table service.
    Given a fleet of 2 daemons with a link to the store each
    When the link of the daemon 0 goes silent
    Then 20 online requests at the daemon 0 are each complete within 3 seconds

  Scenario: A call that may not be repeated is refused in time while the store is silent
    Guards against a caller that waits for many time limits of the store one after the
    other, although the call was given up (P10), and against a false not-run (P5).
    Given a fleet of 2 daemons with a link to the store each
    When the link of the daemon 0 goes silent
    And a caller posts an order with the key "silent-1" to the daemon 0
    Then the call is refused as "not-run" with Retry-After
    And the answer took at most 7 seconds
    And no service has run the order "silent-1"

  Scenario: A daemon behind a silent link is in step again after the link is back
    Guards against calls that stay stuck on the connections that were silent.
    Given a fleet of 2 daemons with a link to the store each
    When the link of the daemon 0 goes silent for 2 seconds
    And a caller posts an order with the key "later-1" to the daemon 0
    Then the call is answered with status 200
    And the services have run the order "later-1" once
