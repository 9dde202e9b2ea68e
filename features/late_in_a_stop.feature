Feature: Requests that come late in a planned stop are answered, or not passed on

  # Guards against requests that are taken late in the grace of a stop, passed on, and cut
  # without an answer at its end.
  Scenario Outline: A stop leaves no request of <kind> that a target has run unanswered
    Given a daemon process before targets that work for <work> s on requests of <kind>
    When requests come on new and kept connections until 6 s after it got SIGTERM
    Then each request that a target has run has a whole answer or a 502
    And none that was sent later than 3 s after SIGTERM has reached a target

    Examples:
      | kind              | work |
      | a repeatable route | 0.5  |
      | a repeatable route | 3.5  |
      | a route of one run | 0.5  |
      | a route of one run | 3.5  |
      | a route of one run | 6.0  |
