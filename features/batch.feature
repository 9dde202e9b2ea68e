Feature: A batch job completes exactly once despite failures

  Scenario: A daemon is killed in the middle of a job
    # Guards against items that are lost or committed twice when their owner crashes.
    Given a batch fleet of 3 daemons and 3 engines
    When a job of 2000 items is created
    And the daemon that holds a chunk is killed
    Then the job completes with 2000 results in input order
    And no chunk was committed twice
    And another daemon claimed the chunk within 10 s of the kill

  Scenario: A daemon resumes after its lease has expired
    # Guards against a late commit by an owner that has not noticed the expiry.
    Given a batch fleet of 3 daemons and 3 engines
    When a job of 2000 items is created
    And the daemon that holds a chunk is paused for 8 s
    Then the job completes with 2000 results in input order
    And no chunk was committed twice
    And another daemon has taken over a chunk from it

  Scenario: The store is down for some seconds while results are ready to commit
    # Guards against lost results, and against jobs that are reported as created
    # although they were not.
    Given a batch fleet of 2 daemons and 2 engines
    When a job of 2000 items is created
    And the store is down for 4 s
    Then a job that is created meanwhile is refused as not run
    And the job completes with 2000 results in input order
    And no chunk was committed twice

  Scenario: Answers of the store are lost on create, claim, commit and finish
    # Guards against a second job and a second commit when a write's outcome is unknown.
    Given a batch fleet of 2 daemons and 2 engines
    When the store loses the answers to the next 1 writes
    And a job of 1100 items is created with the key "night-1"
    And the store loses the answers to the next 40 writes
    Then the same request to another daemon gives the same job
    And the job completes with 1100 results in input order
    And no chunk was committed twice
    And there is one job in the store

  Scenario: A cancelled job stops
    # Guards against results that are added and items that are sent after the cancel
    # was acknowledged.
    Given a batch fleet of 3 daemons and 3 engines with items of 1000 ms
    When a job of 2000 items is created
    And the job is cancelled through another daemon once items run
    Then every running item is cancelled at the engines within 2 s
    And no item was sent after the cancel was acknowledged
    And no result was added after the cancel was acknowledged

  Scenario: An item that crashes engines fails and the others complete
    # Guards against a job that never ends, and against valid items that fail because
    # they ran on the same engine as the crashing one.
    Given a batch fleet of 2 daemons and 2 engines
    And every engine crashes on "poison" and is restarted
    When a job of 300 items whose item 120 crashes engines is created
    Then the job completes with item 120 failed as "request_quarantined"
    And engines were restarted at most 2 times
    And the other 299 items have results

  Scenario: Invalid lines are failed items
    # Guards against a job that fails as a whole for one invalid line.
    Given a batch fleet of 1 daemons and 1 engines
    When a job with every kind of invalid line is created
    Then each invalid line has its reason in the error file

  Scenario: The official client works with files and batches
    # Guards against responses that the client can't parse.
    Given a batch fleet of 2 daemons and 1 engines with items of 400 ms
    When the client uploads, lists, reads and creates
    Then an input file in use can't be deleted until the job is cancelled
