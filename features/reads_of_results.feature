Feature: Reads of results are right beside a copy of the jobs that is out of date
  A client that has read a result of a job at one daemon reads it a second later at any
  other one, or is told to come back.

  Background:
    Given a job of 5 items, 2 of them listed, that daemons "a" and "b" know

  # Guards against a result that was read and is missing a second later: the answer came
  # from a copy of the jobs whose feed stood still.
  Scenario Outline: A result is read where the feed of the jobs stands still
    When the feed of "b" <fault>
    And "a" lists 2 results
    And the copy of "b" is 0.8 s old
    Then a read at "b" from position <position> gives <status> and <count> results
    And "b" has read the row of the job <reads> times

    Examples:
      | fault         | position | status | count | reads |
      | hangs         | 2        | 200    | 2     | 1     |
      | hangs         | 3        | 200    | 1     | 1     |
      | hangs         | 4        | 200    | 0     | 1     |
      | keeps failing | 2        | 200    | 2     | 1     |

  # Guards against "no result" from a daemon that can't know it.
  Scenario: A read is refused where the row can't be read either
    When the feed of "b" hangs
    And "a" lists 2 results
    And the copy of "b" is 0.8 s old
    And the store refuses the calls of "b"
    Then a read at "b" from position 2 gives 503 and no results
    And a read at "b" from position 1 gives 503 and no results

  # Guards against "no result" from a row that an outdated replica of the store gave.
  Scenario Outline: A page of an older version than one that is known establishes nothing
    When the feed of "b" hangs
    And the copy of "b" is 0.8 s old
    And the pages that "b" reads have the <which> version that it was told
    Then a read at "b" from position 2 gives <status> and no results

    Examples:
      | which           | status |
      | newest          | 200    |
      | last but newest | 503    |

  # Guards against refusals while others write: a version that is heard of during a read
  # says nothing about it.
  Scenario: A version that is heard of during the read of a row does not refuse it
    When the feed of "b" hangs
    And the copy of "b" is 0.8 s old
    And the answers of the store to "b" are held
    And a client reads at "b" from position 2
    And "b" is told a newer version
    And the answers of the store reach "b"
    Then the client gets 200 and 0 results

  # Guards against an answer from the row before one that can't be decoded.
  Scenario: A row that can't be decoded establishes nothing
    When the feed of "b" hangs
    And the row of the job becomes unreadable
    And the copy of "b" is 0.8 s old
    Then a read at "b" from position 2 gives 503 and no results

  # Guards against reads of the store for each client that polls for results.
  Scenario Outline: A copy that was confirmed a moment ago asks the store nothing
    When the feed of "b" <feed>
    And the copy of "b" is <age_s> s old
    Then 20 reads at "b" from position 2 give 200 and no results
    And "b" has read the row of the job 0 times

    Examples:
      | feed    | age_s |
      | goes on | 0.0   |
      | hangs   | 0.6   |

  # Guards against reads of the store for what can't change any more.
  Scenario Outline: Nothing is read for <what>
    When "a" <change>
    And "b" has the row of the job
    And the feed of "b" hangs
    And the copy of "b" is 0.8 s old
    And the store refuses the calls of "b" for rows of jobs
    Then a read at "b" from position <position> gives 200 and <count> results
    And "b" has read the row of the job 0 times

    Examples:
      | what                       | change             | position | count |
      | a job that has ended       | ends the job       | 2        | 0     |
      | a job that is complete     | lists 3 results    | 2        | 3     |
      | positions behind the items | lists 1 results    | 5        | 0     |
      | results that are known     | lists 1 results    | 1        | 2     |

  # Guards against reads of the store for the body of an item, which never changes.
  Scenario: The body of an item is read whatever the age of the copy
    When the feed of "b" hangs
    And the copy of "b" is 0.8 s old
    Then a read at "b" of the body of an item gives 200
    And "b" has read the row of the job 0 times

  # Guards against a held call that ends without a result which is there, and against
  # reads of the store for as long as it is held.
  Scenario: A read that has waited in vain is checked at its end
    When the feed of "b" hangs
    And a client reads at "b" from position 2 and waits for 0.4 s
    And "a" lists 1 results
    And the copy of "b" is 0.8 s old
    Then the client gets 200 and 1 results
    And "b" has read the row of the job 1 times

  # Guards against 404 for a job that exists, since pages may be seconds old.
  Scenario Outline: A job whose row a page lacks is unknown only if a transaction shows it
    When the feed of "b" hangs
    And "a" lists 1 results
    And the job <is_there> and pages lack its row
    And the copy of "b" is 0.8 s old
    And transactions of "b" <outcome>
    Then a read at "b" from position 2 gives <status> and <count> results

    Examples:
      | is_there   | outcome     | status | count |
      | is deleted | are done    | 404    | no    |
      | is deleted | are refused | 503    | no    |
      | exists     | are done    | 200    | 1     |

  # Guards against a read of the store for each client of a job that many wait for.
  Scenario: Clients that ask at the same time share one read of the row
    When the feed of "b" hangs
    And "a" lists 1 results
    And the copy of "b" is 0.8 s old
    Then 30 reads at "b" from position 2 give 200 and 1 results
    And "b" has read the row of the job 1 times

  # Guards against one read for each client while the store fails, and against refusals
  # that go on after it is back.
  Scenario: Clients that ask at the same time share a failed read, and later ones do not
    When the feed of "b" hangs
    And "a" lists 1 results
    And the copy of "b" is 0.8 s old
    And the store refuses the calls of "b" for rows of jobs
    Then 30 reads at "b" from position 2 give 503 and no results
    And "b" has read the row of the job 1 times
    When the store answers the calls of "b" for rows of jobs
    Then 30 reads at "b" from position 2 give 200 and 1 results
    And "b" has read the row of the job 2 times

  # Guards against an answer from a row that was read before the client asked.
  Scenario: A client is served by a read of the row that began after it asked
    When the feed of "b" hangs
    And the copy of "b" is 0.8 s old
    And the answers of the store to "b" are held
    And a client reads at "b" from position 2
    And "a" lists 1 results
    And 20 clients read at "b" from position 2
    And the answers of the store reach "b"
    Then the first client gets 200, and the others get 200 and 1 results
    And "b" has read the row of the job 2 times

  # Guards against clients that fail because another one, who asked first, has left.
  Scenario: A client that leaves does not end the read that others wait for
    When the feed of "b" hangs
    And "a" lists 1 results
    And the copy of "b" is 0.8 s old
    And the answers of the store to "b" are held
    And 3 clients read at "b" from position 2
    And the first client leaves
    And the answers of the store reach "b"
    Then the others get 200 and 1 results
    And "b" has read the row of the job 1 times

  # Guards against a row that was read before a newer one took its place.
  Scenario: A row that is read late replaces no newer one
    When the feed of "b" hangs
    And the copy of "b" is 0.8 s old
    And the answers of the store to "b" are held
    And a client reads at "b" from position 2
    And "a" lists 1 results
    And "b" gets the new row of the job from a transaction
    And the answers of the store reach "b"
    Then the client gets 200 and 1 results
