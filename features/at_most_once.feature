Feature: Calls that are not idempotent run at most once

  Scenario: An answer of the store that got lost after the claim took effect is settled
    Guards against a call refused for good because its own claim stands in its way.
    Given a register over a store in memory
    When the answer to the insert is lost after it took effect
    Then the register gives the right to send
    And a second claim of the key says that it may have run

  Scenario Outline: A claim whose outcome stays unknown never sends
    Guards against two daemons that both believe to hold the claim.
    Given a register over a store in memory
    When the insert is <fault> and the store then stays down
    Then the register gives no right to send
    And once the store is back the key can be claimed by one daemon only

    Examples:
      | fault       |
      | lost_before |
      | lost_after  |
      | delayed     |

  Scenario: An outcome that can't be stored waits within a bound
    Given a register over a store in memory with a backlog of 2
    When 3 calls end while the store is down
    Then 2 outcomes wait and 1 is lost
    And after the store is back 2 keys return their outcome and 1 may have run

  Scenario: A large answer is kept as an object
    Given a register over a store in memory and an object store
    When an answer of 200000 bytes is kept while the object store is down
    Then it is not restored before the object store is back
    And afterwards it is restored with the same bytes

  Scenario: Fuzzing of the register against the list of runs
    Three daemons compete, die between any two steps, and the store fails in every way.
    Then fuzzing of the register runs at least 2000 steps without a fault

  Scenario Outline: The oracle of the register catches a broken variant
    Then fuzzing finds that the register which <fault> is broken

    Examples:
      | fault                                   |
      | sends when the outcome is unknown       |
      | trusts a row that was absent before     |
      | frees the key of a call with lost answer |

  Scenario: A call runs once although two daemons get it at the same time
    Given an order fleet whose services work 50 ms
    When the same order is sent 6 times to each daemon at once
    Then the services have run it once
    And each answer is the stored one or says that it may have run

  Scenario: A lost answer of the table service does not run a call twice
    Guards against a claim that is taken for failed, and an outcome stored twice.
    Given an order fleet whose services work 1 ms
    When the next 2 answers to writes of the register are lost
    And the order "a" is sent to daemon 0
    Then the order answer is 200
    When the order "a" is sent to daemon 1
    Then the order answer is 200 and replayed
    And the services have run it once
    And the register's faults have happened

  Scenario: A lost answer of the service is never repaired by a second run
    Given an order fleet whose services work 1 ms
    When the services lose their next answer
    And the order "a" is sent to daemon 0
    Then the order answer is 502 and "may-have-run"
    When the order "a" is sent to daemon 1
    Then the order answer is 409 and "may-have-run"
    And the services have run it once

  Scenario: A daemon is killed while its call runs
    Given an order fleet whose services work 1500 ms
    When the order "a" is sent to daemon 0 and the daemon is killed while it runs
    And the order "a" is sent to daemon 1
    Then the order answer is 409 and "may-have-run"
    And the answer came while the call still ran
    And the services have run it once

  Scenario: A daemon is paused while its call runs
    Guards against another daemon that takes the call of a silent one over.
    Given an order fleet whose services work 600 ms
    When the order "a" is sent to daemon 0 and the daemon is paused while it runs
    And the order "a" is sent to daemon 1
    Then the order answer is 409 and "may-have-run"
    When daemon 0 goes on
    Then the order that daemon 0 was running gets the answer 200
    When the order "a" is sent to daemon 1
    Then the order answer is 200 and replayed
    And the services have run it once

  Scenario: With the store down before the claim nothing is run
    Given an order fleet whose services work 1 ms
    When the table service is down
    And the order "a" is sent to daemon 0
    Then the order answer is 503 and "not-run"
    And the services have run it 0 times
    When the table service is back
    And the order "a" is sent to daemon 1
    Then the order answer is 200
    And the services have run it once

  Scenario: With the store down after the send the caller still gets the answer
    Guards against an outcome that is forgotten because the store was away.
    Given an order fleet whose services work 800 ms
    When the order "a" is sent to daemon 0 and the table service goes down while it runs
    Then the order that daemon 0 was running gets the answer 200
    When the table service is back
    Then within 10 seconds daemon 1 replays the order "a"
    And the services have run it once

  Scenario: A target that refuses before it runs does not use up the call
    Given an order fleet whose services work 1 ms
    When the service in the zone of daemon 0 refuses its next call as not run
    And the order "a" is sent to daemon 0
    Then the order answer is 200
    And the service in another zone has run it once

  Scenario: Keys are checked before anything is sent
    Given an order fleet whose services work 1 ms
    When an order without a key is sent to daemon 0
    Then the order answer is 400 and "not-run"
    When the order "a" is sent to daemon 0
    And the order "a" with another body is sent to daemon 0
    Then the order answer is 422 and "not-run"
    And the services have run it once

  Scenario: Idempotent calls survive the loss of a service
    Given an order fleet whose services work 1 ms
    When a service is killed and 40 status calls are sent
    Then all status calls are answered with 200

  Scenario: Plain calls that could not connect are sent elsewhere beyond the retry budget
    Guards against refusals of calls that nothing has run, because those sent to a target
    that can't be reached have used up the retries.
    Given a plain service with 2 targets of 80 slots
    When 60 calls are sent at once and those at "t1" can't connect
    Then 20 or more of them could not connect, and all are answered with 200

  Scenario: Plain calls that break at their target stay within the retry budget
    Guards against retries that multiply the load on failing targets.
    Given a plain service with 2 targets of 80 slots
    When 60 calls are sent at once and those at "t1" break after they were sent
    Then 20 or more of them broke, and at most 16 of these were sent again

  Scenario: A call sent on a kept connection that broke counts as sent
    Guards against free retries of calls that may have run at a target that then ended.
    When a target ends after it got a call on a kept connection
    Then the call fails at connect and counts as sent

  Scenario: A retried call does not pass on that its last target did not run it
    Guards against a refusal that says not run although an earlier attempt may have.
    Given an order fleet whose services work 1 ms and accept settings
    When the service in the zone of daemon 0 loses its next answer
    And the service in another zone refuses its next call as not run
    And the settings are sent to daemon 0
    Then the order answer is 503 and "may-have-run"
    And both planned faults have happened

  Scenario: A silent table service holds up neither other calls nor answers
    Guards against a store that accepts calls and never answers, one worker thread each.
    Given an order fleet whose services work 800 ms
    When the order "a" is sent to daemon 0 and the table service goes silent while it runs
    Then the order that daemon 0 was running gets the answer 200 within 3 seconds
    When 24 orders are sent to daemon 0 at once
    Then a status call to daemon 0 is answered within 3 seconds
    And every one of the 24 orders is answered 503 and "not-run"
    When the table service answers again
    Then within 10 seconds daemon 1 replays the order "a"
    And the order "a" has run once and none of the 24 orders
