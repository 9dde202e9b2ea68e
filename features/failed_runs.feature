Feature: The failed runs of an item are bounded over all owners of its job

  # Guards against an item that fails at each run and is sent without end, since each
  # owner that is lost before anything of the job is committed takes its count with it.
  Scenario Outline: Owners are lost one after the other, each right after an answer of 500
    Given a route with <attempts> attempts and an item that is answered 500 at each run
    When <losses> owners are lost one after the other, each with its <answer>. answer of 500
    Then the item is listed as failed after <attempts> to <most> answers of 500

    Examples:
      | attempts | losses | answer | most |
      | 3        | 4      | 2      | 7    |
      | 3        | 6      | 1      | 9    |
      | 1        | 2      | 1      | 3    |
      | 5        | 4      | 4      | 9    |

  # Guards against a run that is sent while the failed one before it may be lost, and
  # against a failed run that is counted twice because its write was repeated.
  Scenario: The write of a count and then its answer are lost
    Given a route with 3 attempts and an item that is answered 500 at each run
    When the write of its first count is lost 4 times, and its answer the next time
    Then no run begins before the store holds the count of the runs before it
    And the item is listed as failed after 3 to 3 answers of 500

  # Guards against a job that opens again, or an item that runs, because its owner writes
  # a count while a client ends the job.
  Scenario: A job is ended while the write of a count is under way
    Given a route with 3 attempts and an item that is answered 500 at each run
    When the job is ended while the write of its count is under way
    Then the job stays ended and the item has run once

  # Guards against a late write of a former owner that replaces what the next one wrote.
  Scenario: A job is taken over while the write of a count is under way
    Given a route with 3 attempts and an item that is answered 500 at each run
    When another owner takes the job over while the write of its count is under way
    Then the former owner sends the item no more
    And the item is listed as failed after 3 to 4 answers of 500

  # Guards against counts of an earlier release that are dropped or misread, and against
  # its rows without any.
  Scenario Outline: A job of an earlier release is taken over
    Given a route with 3 attempts and an item that is answered 500 at each run
    When a daemon takes over a job whose row has <counts>
    Then the item is listed as failed after <left> to <left> answers of 500

    Examples:
      | counts                                | left |
      | no field of failed runs               | 3    |
      | 2 failed runs of the item             | 1    |
      | 2 failed runs of an item of no result | 3    |

  # Guards against counts that leave the job's row while the results of their items wait
  # for the next transaction.
  Scenario: An owner is lost with results that no transaction holds yet
    Given a route with 3 attempts and 30 items that are answered 500 at each run
    When all have failed for the last time and the owner is lost once some are listed
    Then each item that was not listed is sent once more and all are listed as failed

  # Guards against failures that the item is not to blame for ending it, or being written.
  Scenario: Broken connections, refusals and preemptions are not counted
    Given a route with 3 attempts and an item that meets 2 of each of them, two answers of 500 and then completes
    When a daemon runs it
    Then it is listed as completed
    And the store took 2 writes of counts

  # Guards against an item that the store's outage ends for good, and against runs
  # without a bound meanwhile.
  Scenario: The store is down when an item fails
    Given a route with 3 attempts and an item that is answered 500 at each run
    When the store is down for 1 s from the first answer on
    Then the item has run once by then
    And the item is listed as failed after 3 to 3 answers of 500

  # Guards against a target that answers 500 to everything and makes all daemons spend
  # the store's writes on counts.
  Scenario: A storm of failures writes its counts at a bounded rate
    Given 20 daemons, one of which runs 3 jobs of 40 items that are answered 500 at each run
    When all of them are listed as failed within 30 s
    Then its counts alone took at most 3 writes a second
    And no run begins before the store holds the count of the runs before it
    And each item had 3 answers of 500

  # Guards against a row of a job that the store refuses for its size at each try, which
  # would hold the counts of all jobs of its daemon up.
  Scenario: The counts of long ids do not fit into the row of their job
    Given a route with 3 attempts and 200 items with ids of 90 quotes and numbers
    When all items of a job with a path of 16 kB fail at the same moment
    Then all are listed as failed after 2 further answers of 500 each

  # Guards against writes for counts that the results of the same job could take along.
  Scenario: Counts are stored with the results of a busy job
    Given 20 daemons, one of which runs a job of 200 items, each 10th of which is answered 500 once
    When all of them are listed as completed within 30 s
    Then its counts alone took at most 3 writes a second
    And they took fewer writes than there were failed runs

  # Guards against an item that is sent once more by each further owner, since the answer
  # that the last one had is lost with it; and against one that is listed as failed by a
  # guess.
  Scenario Outline: More owners are lost than an item may fail, each with its first answer
    Given a route with <attempts> attempts and an item that is answered 500 at each run
    When any number of owners are lost, each with its 1. answer of 500
    Then the item has had <most> answers of 500 and is sent no more
    And no run begins before the store holds the runs of the owners before it
    And nothing is listed

    Examples:
      | attempts | most |
      | 3        | 9    |
      | 1        | 3    |
      | 2        | 6    |

  # Guards against an item that is listed as failed although no answer to it was had.
  Scenario Outline: More owners are lost than an item may fail, each before the answer
    Given a route with <attempts> attempts and an item that is answered 500 at each run
    When any number of owners are lost, each once its run has begun
    Then the item has begun <most> runs and is sent no more
    And nothing is listed

    Examples:
      | attempts | most |
      | 3        | 9    |
      | 1        | 3    |

  # Guards against an item that no target can do and that each further owner sends, since
  # the answer that the last one had is lost with it.
  Scenario: More owners are lost than an item may be answered 422
    Given a route with 3 attempts and an item that is answered 422 at each run
    When any number of owners are lost, each with its answer of 422
    Then the item has begun at most 3 runs

  # Guards against an item that stays open for ever, and keeps its job open.
  Scenario: An item that is held is listed as failed once it may be abandoned
    Given a route with 1 attempts and an item that is answered 500 at each run
    When any number of owners are lost, and the retention of 3 s passes
    Then the item is listed as failed after 3 to 3 answers of 500
    And that is later than its retention

  # Guards against items that are held since the owners of their job were lost, although
  # few of them have run these items.
  Scenario: The items of a job complete after more losses than an item may fail
    Given a route with 3 attempts and a job of 60 items
    When 12 owners are lost one after the other, each with its first runs
    Then all items complete at the next owner
    And no run begins before the store holds the runs of the owners before it

  # Guards against an item that is held after a planned stop, which loses no answer, and
  # against runs that a former owner has recorded and not begun.
  Scenario: Planned stops count as no loss
    Given a route with 1 attempts and an item that is silent at first
    When 2 owners are lost once its run has begun
    And 5 owners are stopped as planned, each once its run has begun
    Then the item has begun 8 runs and completes at the next owner

  # Guards against a limit that is passed by one run or met too early, and against an item
  # that is held although a target has answered it with events.
  Scenario Outline: Whether an item may run
    Given an item with <failed> failed runs on a route with <attempts> attempts
    And a row with <lost> lost owners and <begun> recorded runs of it
    When its job is <age_s> s old and it <events>
    Then the decision is to <admission>

    Examples:
      | failed | attempts | lost | begun | age_s | events         | admission |
      | 0      | 3        | 0    | 0     | 1     | has no event   | begin     |
      | 2      | 3        | 1    | 0     | 1     | has no event   | begin     |
      | 0      | 3        | 2    | 0     | 1     | has no event   | record    |
      | 0      | 3        | 2    | 6     | 1     | has no event   | record    |
      | 0      | 3        | 2    | 7     | 1     | has no event   | hold      |
      | 2      | 3        | 2    | 5     | 1     | has no event   | hold      |
      | 2      | 3        | 2    | 5     | 1     | has had events | begin     |
      | 0      | 1        | 2    | 1     | 1     | has no event   | hold      |
      | 0      | 0        | 2    | 1     | 1     | has no event   | hold      |
      | 0      | 1        | 2    | 1     | 60.5  | has no event   | hold      |
      | 0      | 1        | 2    | 1     | 61.5  | has no event   | give up   |
      | 1      | 1        | 2    | 1     | 1     | has no event   | give up   |
