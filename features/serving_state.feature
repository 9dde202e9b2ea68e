Feature: Daemons keep a consistent view of targets, configuration and jobs

  Scenario Outline: An entry that names no usable target is left out
    # Guards against a crash, or requests to a bad address, due to a malformed entry.
    When the entry of a target is <entry>
    Then the entry is rejected

    Examples:
      | entry                                                                              |
      | not JSON                                                                           |
      | {"service": "lm"}                                                                  |
      | {"service": "lm", "address": "1.2.3.4", "zone": "z", "slots": 8, "state": "ready"} |
      | {"service": 5, "address": "1.2.3.4:5", "zone": "z", "slots": 8, "state": "ready"}  |
      | {"service": "lm", "address": "1.2.3.4:5", "zone": "z", "slots": 8, "state": "odd"} |
      | {"service": "lm", "address": "1.2.3.4:5", "zone": "z", "slots": 0, "state": "ready"} |

  # Guards against requests to a target that is gone.
  Scenario: A target gets no more work once its registration ends
    Given targets "a" and "b"
    When the registration of "a" ends
    Then the usable targets are "b"

  # Guards against a fleet without targets because their registrations expired while the
  # store was unavailable.
  Scenario: Registrations that expired while the store was unavailable have a grace period
    Given targets "a" and "b"
    When the store recovers from an outage
    And the registration of "a" ends
    Then the usable targets are "a, b"
    When 2.1 s have passed
    Then the usable targets are "a, b"
    When 2.3 s have passed
    Then the usable targets are "b"

  # Guards against applying the failures of a former process to its successor.
  Scenario: A target that restarts under the same id starts with a clean state
    Given targets "a" and "b"
    When "a" has failed and registers again with a new start time
    Then "a" counts as healthy

  # Guards against an older configuration replacing a newer one.
  Scenario: A feed whose history is gone and whose reads are out of date never goes back
    Given a table that a daemon follows, with a row written 5 times
    When the history is gone and reads are 3 versions behind for a while
    Then the daemon has seen only increasing versions and ends with the last one

  # Guards against a feed that overwrites a newer version which the daemon wrote itself.
  Scenario: A version that is older than a known one is ignored
    Given a table that a daemon follows, with a row written 5 times
    When the daemon applies versions 9, 5 and 9 of a row, its deletion at 7, and version 10
    Then it has reported versions 9 and 10 only

  Scenario: A row that was deleted while the feed was interrupted is removed
    # Guards against targets that are kept because their deletion was missed.
    Given a table that a daemon follows, with a row written 5 times
    When the row is deleted together with the history
    Then the daemon knows no row

  # Guards against jobs that are lost, accepted twice or listed twice when responses of
  # the store are lost, late or refused, while owners change and jobs are ended.
  Scenario Outline: Jobs survive a store that loses responses
    When 40 histories of two daemons are simulated with seed <seed> and 35 of 100 transactions going wrong
    Then each position was written once with one content
    And no item is listed at two positions
    And a refused job left no row
    And the histories had at least 40 lost responses and 10 changes of owner

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a quota that is exceeded by concurrent acceptances.
  Scenario: Daemons that accept jobs concurrently keep the quota
    Given a quota of 100 tokens
    When 6 daemons accept jobs of 30 tokens at the same moment
    Then 3 jobs were accepted and the others refused as over the quota

  Scenario: A job whose acceptance gets no response has an unknown outcome
    # Guards against a refusal of a job that may have been stored.
    When the store loses every response while a job is accepted
    Then the outcome is reported as unknown

  # Guards against items that run twice and are listed twice because the feed delivered a
  # job before the response to its acceptance.
  Scenario: A job that is started twice runs each item once
    When a daemon starts a job of 4 items, and again after 100 ms
    Then each of the 4 items was sent to a target once

  # Guards against jobs that wait until a stopping daemon has ended, because it took them
  # over or because the others leave them to it. This happens when daemons are stopped one
  # after the other, a second apart.
  Scenario Outline: A released job goes to a daemon that is not stopping
    Given a job without an owner and two daemons, of which <stopping> is stopping
    When both look for jobs to take over
    Then <owner> owns the job

    Examples:
      | stopping   | owner      |
      | the first  | the second |
      | the second | the first  |

  # Guards against a 404 for a job that was accepted by a daemon that has told nobody yet:
  # once its history is gone, the store may serve reads of a state some seconds old.
  Scenario Outline: A job that an out-of-date read does not show may exist
    Given a daemon that has accepted a job, and another one whose store reads are out of date
    When the other daemon is asked for <job> before any report has arrived
    Then it finds <found>

    Examples:
      | job         | found   |
      | the job     | the job |
      | another job | no job  |

  Scenario: Whether a job exists stays open while the store takes no changes
    Given a daemon that has accepted a job, and another one whose store reads are out of date
    And no change of the other one reaches the store
    When the other daemon is asked for the job before any report has arrived
    Then it can't decide whether the job exists

  # Guards against a job that never completes because the operator has removed its route.
  Scenario: Items whose route is removed for good fail
    When a daemon runs a job of 3 items whose route is removed
    Then 0.5 s later nothing is listed
    And once the route has been missing for longer than the limit, all are listed as failed

  # Guards against items that fail at each run and get all attempts again from each
  # daemon that takes the job over.
  Scenario: The failed runs of an item count for the next owner too
    When a daemon releases a job whose first item has failed 2 times
    Then the daemon that takes the job over continues from 2 failed runs
    And it resumes the item after the 2 events received so far

  # Guards against a daemon that takes jobs from others since it has not heard them while it
  # stood still itself: its overdue tasks run before their heartbeats are read.
  Scenario: A daemon that stood still takes no job from an owner that is alive
    Given a job whose owner sends heartbeats
    When another daemon stands still for 3 s and goes on for 2 s
    Then its owner still has the job

  # Guards against results that are deleted while clients may still read them, by a machine
  # whose time of day is wrong, or since it was where the job was accepted.
  Scenario Outline: A job that has just ended is kept though the time of day <steps>
    Given a job that has ended, accepted <accepted>
    When a daemon sweeps, <swept>
    Then the job is still stored

    Examples:
      | steps                        | accepted              | swept                  |
      | is stepped at the sweeper    | just now              | with a clock 1 h ahead |
      | was wrong at the acceptor    | with a clock 1 h late | just now               |

  # Guards against objects of refused jobs that stay for good and fill the store.
  Scenario: The payload of a refused job does not stay in the store
    When the store refuses all transactions while a job with a payload of over 600 kB is accepted
    Then the job is refused and the store holds no object
