Feature: Old batch data and outcomes are deleted, and nothing else

  Scenario Outline: A job is deleted step by step
    # Guards against results that are deleted within their retention or of an open job,
    # and against a key that is forgotten while its job must not run again.
    Given results are kept for 1000 s, inputs for 1500 s, keys for 3000 s and outcomes for 500 s
    When a job is <state> and its end was <age> s ago
    Then the step that is due for it is "<step>"

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

  Scenario Outline: A call of the register is kept, without an outcome for longer
    # Guards against a call that runs again because its row went too early.
    Given results are kept for 1000 s, inputs for 1500 s, keys for 3000 s and outcomes for 500 s
    When a register row is <state> and was claimed <age> s ago
    Then the step that is due for it is "<step>"

    Examples:
      | state             | age  | step   |
      | done              | 499  | keep   |
      | done              | 500  | delete |
      | done with object  | 500  | expire |
      | claimed           | 999  | keep   |
      | claimed           | 1000 | expire |
      | expired           | 0    | erase  |

  Scenario: A model that no service offers keeps its data for the longest period
    # Guards against data that goes early because its service left the configuration.
    Given results are kept for 9000000 s, inputs for 1500 s, keys for 9000000 s and outcomes for 500 s
    When a job of the model "removed" is completed and its end was 8999999 s ago
    Then the step that is due for it is "collect"

  Scenario: A retention that forgets keys before results is refused
    # Guards against a job that runs twice while its results can still be read.
    When a service with results_s 1000 and keys_s 999 is validated
    Then the document is refused for "keys_s must not be shorter than results_s"

  Scenario: The rows of all organisations have exactly one shard
    # Guards against rows that no daemon sweeps, and against shards without an owner.
    When shards are listed for 40 organisations and divided among 7 daemons
    Then each key of known and unknown organisations is swept through one shard
    And every shard has one owner and no daemon has more than a third of them

  Scenario: Sweepers under faults, deaths and pauses delete only what is due
    # Guards against data of an open or recent job that is deleted, a cut result, a key
    # that runs again, data that is never deleted, and steps that a longer period which
    # was published during the wait for the budget has made undue.
    When the sweepers are fuzzed with 300 examples of 40 steps
    Then the sweepers took at least 10000 steps

  Scenario: The fuzzing finds sweepers without conditional writes
    # Guards against a check that would pass over a paused sweeper's late delete.
    Then the fuzzing rejects sweepers without conditional writes

  Scenario: The daemons keep to the budget of the fleet
    # Guards against sweeps that take the store's limits away from the work itself.
    When 340 daemons sweep for 3600 s
    Then together they read at most 400 rows and write at most 80 rows a second

  Scenario: The writes per job are bounded by its chunks
    # Guards against a sweep that writes more rows than the budget assumes.
    When a job of 46 chunks is swept until nothing is left
    Then at most 53 rows were written for it

  Scenario: Daemons delete an old job, its file and a call while one of them is killed
    # Guards against a sweep that stops with a daemon's death, and against an empty result
    # in place of an error.
    Given a fleet of 3 daemons that keeps results for 8 s and keys for 3600 s
    When a job of 600 items completes and a call is made once
    And a daemon is killed while the sweeps begin
    Then the job answers 410 "job_expired" with run state "ran" through another daemon
    And the same request gets the same answer and creates no job
    And its objects, chunk rows, input file and the outcome are deleted within 60 s
    And the deletions are counted by kind
