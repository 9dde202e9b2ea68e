Feature: A request that crashes targets is set aside at all daemons

  At most two engines are lost to one request, counted from the lines that the engines
  write when they crash.

  Scenario Outline: A crashing request is sent to all daemons at once, again, and as a batch item
    Guards against daemons that each lose engines to the same request before they hear of
    each other, and against a quarantine that a restarted daemon or batch does not know.
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
    Guards against deaths under batch items that online traffic does not learn of.
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

  Scenario: Rows of single deaths add up, and ended rows go away
    Guards against daemons that did not hear of each other, and rows that pile up.
    Given rows of deaths in a store
    When two daemons write one death each of different targets
    Then a read delivers a quarantine, and after its end nothing
    And the ended row is overwritten by a new death and removed after its end
