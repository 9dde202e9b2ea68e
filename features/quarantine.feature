Feature: A request that crashes targets is quarantined at all daemons

  One request crashes at most two engines, counted by the log lines that engines write
  when they crash.

  Scenario Outline: A crashing request is sent to all daemons at once, again, and as a batch item
    Guards against daemons that each lose engines to the same request before they receive
    each other's reports, and against a quarantine unknown to batch or a restarted daemon.
    Given 3 daemons and 6 engines in <zones>, which crash on a request
    When the crashing request is sent to all daemons at the same moment
    Then at most 2 engines have crashed
    When all engines that crashed are started again
    And the crashing request is sent to all daemons at the same moment
    And a job with the crashing request among 40 items is run
    Then the job has 40 good items and one that failed as "request_quarantined"
    When a daemon is killed and started again while the others are paused
    And the crashing request is sent to the restarted daemon
    Then at most 2 engines have crashed
    And all daemons answer healthy requests

    Examples:
      | zones       |
      | one region  |
      | two regions |

  Scenario: A batch item crashes engines before anybody sends it online
    Guards against crashes caused by batch items that are unknown to online traffic.
    Given 3 daemons and 6 engines in one region, which crash on a request
    And engines that crash are started again after a second
    When a job with the crashing request among 40 items is run
    Then the job has 40 good items and one that failed as "request_quarantined"
    When the crashing request is sent to all daemons at the same moment
    Then at most 2 engines have crashed

  Scenario: Online traffic goes on without the store when an engine crashes
    Guards against a quarantine that needs the store to refuse a request.
    Given 3 daemons and 6 engines in one region, which crash on a request
    When the store is down
    And the crashing request is sent to all daemons at the same moment
    And all engines that crashed are started again
    And the crashing request is sent to all daemons at the same moment
    Then at most 2 engines have crashed
    And all daemons answer healthy requests

  Scenario: Rows of single crashes add up, and expired rows are removed
    Guards against crashes reported by daemons without contact, and rows that accumulate.
    Given rows of crashes in a store
    When two daemons write one crash each of different targets
    Then a read delivers a quarantine, and after its end nothing
    And the expired row is overwritten by a new crash and removed after its end
