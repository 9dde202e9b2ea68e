Feature: Retention deletes expired batch data and outcomes, and nothing else

  Scenario Outline: A job is deleted step by step
    # Guards against deleting results within their retention period or of an open job,
    # and against deleting a key whose job must not run again.
    Given results are kept for 1000 s, inputs for 1500 s, keys for 3000 s and outcomes for 500 s
    When a job is <state> and ended <age> s ago
    Then the next retention step is "<step>"

    Examples:
      | state                 | age    | step    |
      | in_progress           | 999999 | keep    |
      | completed             | 599    | keep    |
      | completed             | 600    | collect |
      | collected             | 999    | keep    |
      | completed             | 1000   | expire  |
      | cancelled             | 999    | collect |
      | cancelled             | 1000   | expire  |
      | expired               | 1000   | erase   |
      | erased                | 2999   | keep    |
      | erased                | 3000   | forget  |

  Scenario Outline: A register row is kept for its period, and longer without an outcome
    # Guards against a call that runs again because its row was deleted too early.
    Given results are kept for 1000 s, inputs for 1500 s, keys for 3000 s and outcomes for 500 s
    When a register row is <state> and was claimed <age> s ago
    Then the next retention step is "<step>"

    Examples:
      | state             | age  | step   |
      | done              | 499  | keep   |
      | done              | 500  | delete |
      | done with object  | 500  | expire |
      | claimed           | 999  | keep   |
      | claimed           | 1000 | expire |
      | expired           | 0    | erase  |

  Scenario: A model that no service offers keeps its data for the longest period
    # Guards against data that is deleted early because its service was removed from the
    # configuration.
    Given results are kept for 9000000 s, inputs for 1500 s, keys for 9000000 s and outcomes for 500 s
    When a job of the model "removed" is completed and ended 8999999 s ago
    Then the next retention step is "collect"

  Scenario: A retention period of keys that is shorter than that of results is refused
    # Guards against a job that runs twice while its results can still be read.
    When a service with results_s 1000 and keys_s 999 is validated
    Then the document is refused for "keys_s must not be shorter than results_s"

  Scenario: The rows of all organisations belong to exactly one shard
    # Guards against rows that no daemon sweeps, and against shards without an owner.
    When shards are listed for 40 organisations and divided among 7 daemons
    Then each key of known and unknown organisations is swept through one shard
    And every shard has one owner and no daemon has more than a third of them

  Scenario: Under faults, crashes and pauses, sweepers delete only what is due
    # Guards against deleted data of an open or recent job, truncated results, a key that
    # runs again, data that is never deleted, and steps that are no longer due because a
    # longer period was published during the wait for the budget.
    When the sweepers are fuzzed with 300 examples of 40 steps
    Then the sweepers were fuzzed for at least 10000 steps

  Scenario: The fuzzing finds sweepers without conditional writes
    # Guards against a check that misses the late delete of a sweeper that was paused.
    Then the fuzzing rejects sweepers without conditional writes

  Scenario: All daemons together stay within the fleet's budget
    # Guards against sweeps that use up the store's rate limits.
    When 340 daemons sweep for 3600 s
    Then together they read at most 400 rows and write at most 80 rows a second

  Scenario: The writes per job are bounded by its chunks
    # Guards against a sweep that writes more rows than the budget assumes.
    When a job of 46 chunks is swept until nothing is left
    Then at most 53 rows were written for it

  Scenario: Daemons delete an old job, its file and a call while one of them is killed
    # Guards against sweeps that stop when a daemon is killed, and against an empty result
    # in place of an error.
    Given a fleet of 3 daemons that keeps results for 8 s and keys for 3600 s
    When a job of 600 items completes and an at-most-once call is made
    And a daemon is killed while the sweeps begin
    Then another daemon reports the job as 410 "job_expired" with run state "ran"
    And the same request gets the same error and creates no job
    And its objects, chunk rows, input file and the outcome are deleted within 60 s
    And the deletions are counted by kind
