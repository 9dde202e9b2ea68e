Feature: A change that comes into force takes nothing away from requests under way

  # Guards against ending requests that the configuration before allowed, by one that
  # comes into force or by a reload of the settings: while a body is read, and while
  # requests wait for a slot, stream, or go on at another target after a cut.
  Scenario Outline: Requests under way are answered although <change>
    Given a store, 2 targets and 1 daemons
    And targets that take 100 ms for each of 10 events
    And routes with a timeout of 12 s
    And 22 clients whose requests run, wait or were cut, one sending its body
    When <change>
    Then each of the 22 clients has the complete stream
    And the client that sent its body meanwhile gets <later>
    And requests have waited, and some have gone on at another target

    Examples:
      | change                                            | later      |
      | a configuration drops the route                   | status 404 |
      | a configuration moves the route away from targets | status 503 |
      | a configuration shortens the timeout              | an answer  |
      | a configuration allows one attempt                | status 200 |
      | the settings are read again                       | status 200 |
