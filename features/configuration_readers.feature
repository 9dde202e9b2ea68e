Feature: A region reads the configuration from the store through a few daemons

  Scenario: A configuration of 1,400 routes is sent to a region of 18 daemons three times at most
    # Guards against daemons that each read a large configuration over the link between
    # two regions: the store's other answers wait behind those bytes, and all copies age.
    Given a region of 18 daemons with few routes
    When the operator publishes 1400 routes more
    Then all daemons have the new configuration within 4 s of its acknowledgement
    And the store has sent the configuration at most 3 times

  Scenario: A change a second of a large configuration passes a narrow link to the store
    # Guards against copies that age for long after a change, since all daemons fill the
    # link: nothing else arrives, and answers that time out are sent again.
    Given a region of 18 daemons with few routes
    And a link to the store that carries 1 MB/s
    When the operator publishes 1400 routes more, and changes them each second for 5 s
    Then all daemons have the new configuration within 4 s of its acknowledgement
    And no answer of the store to a read of another table takes more than 1 s

  Scenario Outline: A change of the configuration reaches all daemons though <count> of its readers <fate>
    # Guards against daemons that wait for a reader which no longer answers, or can't say
    # that its own copy is old, while the store is sound.
    Given a region of 18 daemons with few routes
    When <count> of its 2 readers <fate>
    And the operator publishes 1400 routes more
    Then all daemons have the new configuration within 4 s of its acknowledgement

    Examples:
      | count | fate               |
      | 1     | end                |
      | 1     | stop without a sign |
      | 2     | end                |
      | 2     | stop without a sign |

  Scenario: Daemons that all restart at once load their tables from the readers
    # Guards against a region that is not ready for long after a loss of power, since each
    # of its daemons reads all tables over the link to the region of the store.
    Given a region of 18 daemons with few routes
    When the operator publishes 1400 routes more
    And the store holds 600 rows of jobs
    And all daemons are killed and start again, its 2 readers first
    Then all daemons are ready and have the new configuration within 15 s
    And the store has sent the configuration at most 3 times
    And the store has sent the rows of jobs at most 3 times

  Scenario Outline: A daemon whose readers <manner> reads from the store, not before <least> s
    # Guards against a daemon that is never ready, since the readers it asks respond without
    # a table, and against one that does not wait for readers which start when it does.
    Given a store with a configuration and two readers that <manner>
    When a daemon that starts beside them follows the configuration
    Then it has the configuration after <least> s at the earliest and <most> s at the latest

    Examples:
      | manner                       | least | most |
      | are of an earlier release    | 1.0   | 4    |
      | respond with invalid rows    | 1.0   | 8    |
      | have no current copy         | 5.0   | 8    |
      | are gone                     | 0.0   | 4    |

  Scenario: A change that a reader applies as a poll ends is in the answer
    # Guards against an answer that names the version of a change and leaves out its row:
    # who polls goes on from that version and never asks for the row again.
    Given a reader with a copy of the configuration at version 1
    When a poll after version 1 ends in the moment in which the reader applies version 2
    Then its answer has version 1, or version 2 with the row

  Scenario: A daemon that has not asked its readers for long asks them first
    # Guards against a region that reads whole tables from the store at the same moment,
    # since its readers have not been heard while nobody asked them.
    Given a daemon with two readers that has loaded a table from them
    When it reads the table again 60 s later
    Then it asks a reader and not the store
    But it asks the store too once no reader has responded for 1.4 s

  Scenario: Reads of a whole table by many daemons are encoded once, and tell their age
    # Guards against a reader that is busy with nothing else while a region starts.
    Given a reader with a copy of 3000 rows
    When 40 daemons read the table, a row of which changes before each read
    Then the rows have been encoded 1 time
    And each answer names the version that it is complete up to
    And a read 1.5 s later has the newest version

  Scenario: The row of a new run of a daemon is not replaced by that of its former run
    # Guards against jobs that nobody takes over after all daemons have lost power: what
    # their owner's former run had was taken for the work of a daemon that is alive.
    Given a daemon that has restarted, so that its row names a new run
    When another one that starts reads that row, and then a reader's copy from before
    Then it knows the new run
