Feature: A read of many pages is right at the version that it claims

  # Guards against a row that is never read since it changed in the range of a page that
  # had been read, before the page whose version was taken for that of all rows.
  Scenario Outline: A row <changed> between two pages is known, <history>
    Given a table of 12 rows that a daemon reads in pages of 4
    When a row of an earlier page is <changed> between the pages, <history>
    Then the copy is the store's rows
    And the copy never lacked a change up to the version that it claimed

    Examples:
      | changed | history                                 |
      | changed | with the history kept                   |
      | created | with the history kept                   |
      | deleted | with the history kept                   |
      | changed | with the history dropped after 1 read   |
      | created | with the history dropped after 1 read   |
      | deleted | with the history dropped after 1 read   |
      | changed | with the history dropped after 5 reads  |
      | created | with the history dropped after 5 reads  |
      | deleted | with the history dropped after 5 reads  |

  # Guards against a job that its daemon has just accepted, takes for deleted by a read
  # of before, and answers 404 for.
  Scenario: A row that the daemon wrote between two pages is not taken for deleted
    Given a table of 12 rows that a daemon reads in pages of 4
    When the daemon writes a row of an earlier page between the pages
    Then the copy is the store's rows
    And no row was reported as deleted

  # Guards against a copy that stands still while the history is dropped faster than it
  # can be read, and against reads without a pause then.
  Scenario: A copy follows a table that changes all the time although its history is always gone
    Given a table of 12 rows that a daemon reads in pages of 4
    When each call takes 0.3 s, rows change before each page, and the history is always gone for 60 s
    Then each full read showed all changes up to its beginning
    And at least 20 and at most 50 full reads were made
    And the copy is the store's rows

  # Guards against a copy that is taken for newer than it is, since its age counts from
  # the last page, or from a call that failed.
  Scenario: The age of a copy counts from the moment its first page was asked for
    Given a table of 12 rows that a daemon reads in pages of 4
    When each call takes 0.3 s, and the first call and that for the third page fail once
    Then the copy is from 1.2 to 1.5 s old when it is loaded

  # Guards against a read of many pages that never ends since one of its calls fails.
  Scenario: A page that fails is read again, and those before it are not
    Given a table of 40 rows that a daemon reads in pages of 4
    When every other call for a page fails
    Then the copy is the store's rows
    And the daemon read each page once, besides the calls that failed

  # Guards against full reads of a large table for each poll that is lost.
  Scenario: A poll that fails causes no full read of many pages
    Given a table of 40 rows that a daemon reads in pages of 4
    When 2 polls fail one after the other and a row changes
    Then the copy is the store's rows
    And 1 full read was made

  # Guards against a daemon that follows an outdated copy for as long as polls fail and
  # reads would not.
  Scenario: A table of many pages is read in full when polls go on failing
    Given a table of 40 rows that a daemon reads in pages of 4
    When all polls fail for 10 s while rows change
    Then each full read showed all changes up to its beginning
    And at least 3 and at most 40 full reads were made

  # Guards against rows of a contradictory read in a copy, and against reads without
  # end, pause or bound.
  Scenario Outline: A daemon applies nothing from a read with <fault>
    Given a table of 12 rows that a daemon reads in pages of 4
    And the daemon has read the table, and the history is gone
    When the store gives <fault> for 5 s while rows change
    Then the copy stayed as it was for that time
    And the fault was logged, and at most 30 reads were begun
    And the copy is the store's rows

    Examples:
      | fault                              |
      | the pages in another order         |
      | the same page twice                |
      | a lower version on the second page |
      | no rows and more pages             |

  # Guards against a caller whose memory grows until it is killed.
  Scenario: A read without end is given up
    Given a store that gives pages of 500 new rows without end
    When all rows are read
    Then the read fails as contradictory after at most 401 pages
    And the fault was logged

  # Guards against a job that is accepted over the quota by a daemon that knows the
  # quota row and not all the jobs that were accepted before it was written.
  Scenario: A daemon that misses a job of a full read counts it before it accepts another
    Given a route with a quota of 30 tokens
    When a job of 30 tokens is stored between the pages of a daemon's full read
    Then the daemon refuses another job of 30 tokens as over the quota

  # Guards against a relay that hands out a part of a table as all of it.
  Scenario: A relay that has read half of a table answers nothing from its memory
    Given a relay whose copy has read 1 of 3 pages when the store is gone
    When another daemon reads the table there
    Then the relay answers 503
    And once it has read all pages it answers all rows in order of their keys

  # Guards against a daemon that starts and can't load a table that a relay knows, since
  # it waits for the rest of a read that it began before the store was gone.
  Scenario: A daemon that has read half of a table takes it from a relay's memory
    Given a table of 12 rows that a daemon reads in pages of 4
    When the store is gone after the first page, and a relay answers from its memory
    Then the copy is loaded with 12 rows, and is not confirmed

  # Guards against expired records of later pages that are kept for ever.
  Scenario: Expired records are deleted from all pages
    Given 1200 expired records of streams and 1 that is not, in pages of 500
    When the records are swept
    Then only the record that is not expired is left

  # Guards against orders of changes, losses and failures that no scenario names.
  Scenario: Fuzzing of reads with changes between the pages
    When "pages" is fuzzed with 60 examples of 6 steps
    Then the fuzzing ran at least 100 steps
    And the fuzzing rejects the broken "last version" within 60 examples
    And the fuzzing rejects the broken "hasty deletion" within 60 examples
