Feature: Targets get no more requests than the limit that they name

  # Guards against a limit for all daemons together that no daemon reads, or that each keeps
  # for itself alone.
  Scenario: Targets that name a limit get no more from all daemons together
    Given a store, 3 targets and 3 daemons
    And targets that name a limit of 2 requests a second
    When for 9 s every daemon gets 8 requests a second
    Then from 1 s after it first named it no target has got more than 10 requests in 4 s
    And at least 4 requests a second were served
