Feature: What the daemons believe of targets, configuration and jobs

  Scenario Outline: An entry that names no usable target is left out
    # Guards against a crash or a send because of another writer's entry.
    When the entry of a target is <entry>
    Then it is refused as an entry

    Examples:
      | entry                                                                              |
      | not JSON                                                                           |
      | {"service": "lm"}                                                                  |
      | {"service": "lm", "address": "1.2.3.4", "zone": "z", "slots": 8, "state": "ready"} |
      | {"service": 5, "address": "1.2.3.4:5", "zone": "z", "slots": 8, "state": "ready"}  |
      | {"service": "lm", "address": "1.2.3.4:5", "zone": "z", "slots": 8, "state": "odd"} |
      | {"service": "lm", "address": "1.2.3.4:5", "zone": "z", "slots": 0, "state": "ready"} |

  # Guards against sends to a target that has left.
  Scenario: A target whose registration ends gets no more work at once
    Given targets "a" and "b"
    When the registration of "a" ends
    Then the usable targets are "b"

  # Guards against a fleet without targets because their registrations lapsed while the
  # store was away.
  Scenario: Registrations that lapsed while the store was away have time to come back
    Given targets "a" and "b"
    When the store returns after it was away
    And the registration of "a" ends
    Then the usable targets are "a, b"
    When 2.1 s have passed
    Then the usable targets are "a, b"
    When 2.3 s have passed
    Then the usable targets are "b"

  # Guards against what was known of a former process being believed of a new one.
  Scenario: A target that starts again under its id is a new one
    Given targets "a" and "b"
    When "a" has failed and registers again with another start
    Then "a" counts as healthy

  # Guards against an older configuration after a newer one.
  Scenario: A feed whose history is gone and whose reads are out of date never goes back
    Given a table that a daemon follows, with a row written 5 times
    When the history is gone and reads are 3 versions behind for a while
    Then the daemon has seen only rising versions and ends with the last one

  # Guards against a feed that brings an older version than the daemon has written itself.
  Scenario: A version that is older than a known one is not taken
    Given a table that a daemon follows, with a row written 5 times
    When the daemon takes versions 9, 5 and 9 of a row, its end at 7, and version 10
    Then it has told of versions 9 and 10 only

  Scenario: A row that was deleted while the daemon could not follow is dropped
    # Guards against targets that live on because their end was missed.
    Given a table that a daemon follows, with a row written 5 times
    When the row is deleted together with the history
    Then the daemon knows no row

  # Guards against jobs that are lost, taken twice or listed twice when answers of the
  # store are lost, late or refused, while owners change and jobs are ended.
  Scenario Outline: Jobs survive a store that loses answers
    When 40 histories of two daemons are played with seed <seed> and 35 of 100 transactions going wrong
    Then each position was written once with one content
    And no item stands at two positions
    And a refused job left no row
    And the histories had at least 40 lost answers and 10 changes of owner

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against a quota that several daemons fill at the same moment.
  Scenario: Daemons that accept at the same moment keep the quota
    Given a quota of 100 tokens
    When 6 daemons accept jobs of 30 tokens at the same moment
    Then 3 jobs were taken and the others refused as over the quota

  Scenario: The daemon that a lost answer leaves in doubt says so
    # Guards against a refusal that promises too much.
    When the store loses every answer while a job is accepted
    Then the outcome is said to be unknown

  # Guards against items that run twice and are listed twice because the feed brought a
  # job before its acceptance was answered (hunt finding, TWICE on filbert-line).
  Scenario: A job that is adopted twice runs each item once
    When a daemon adopts a job of 4 items, and again after 100 ms
    Then each of the 4 items was sent to a target once

  # Pattern: daemons are stopped one after the other, a second apart.
  # Guards against jobs that wait for the end of a daemon which is stopping, because it
  # took them over or because the others leave them to it.
  Scenario Outline: A job that was handed back goes to a daemon that stays
    Given a job without an owner and two daemons, of which <stopping> is stopping
    When both look for jobs to take over
    Then <owner> owns the job

    Examples:
      | stopping   | owner      |
      | the first  | the second |
      | the second | the first  |

  # Guards against a 404 for a job that another daemon has accepted a moment ago: after its
  # history is gone the store may show a state of some seconds ago.
  Scenario: What an out of date answer does not show may exist
    Given a daemon that has accepted a job, and another one whose store answers are old
    When the other daemon is asked for the job before any report has come
    Then it knows of no job
    When it is asked again and a report of the first one comes 100 ms later
    Then it can't be sure
    When it is asked again after a report of the first one
    Then it can't be sure
    When the answers of the store are up to date again
    Then it finds the job

  # Guards against a job that never ends since the operator has removed its route.
  Scenario: Items whose route is gone for good are given up
    When a daemon runs a job of 3 items whose route is removed
    Then 0.5 s later nothing is listed
    And once the route has been gone for longer than a daemon lags behind, all are listed as given up

  # Guards against items that fail at each run and get all attempts again from each
  # daemon that takes the job over.
  Scenario: Failed runs of an item count on with the next owner
    When a daemon hands back a job whose first item has failed 2 times
    Then the daemon that takes the job over goes on from 2 failed runs
    And it goes on behind the 2 events that the item has brought
