Feature: Batch work yields to online traffic and follows deadlines

  Scenario Outline: Items are sent only to free slots of a target
    # Guards against batch items that queue ahead of online requests.
    Given a target with 16 slots and a reserve of 2
    And a report of <running> running and <waiting> waiting, <age_ms> ms old
    And <own> own items in flight that the report has seen
    And <new> own items sent after the report
    Then there is room for <room> more items

    Examples:
      | running | waiting | age_ms | own | new | room |
      | 0       | 0       | 500    | 0   | 0   | 14   |
      | 6       | 0       | 500    | 6   | 0   | 8    |
      | 6       | 0       | 500    | 0   | 0   | 8    |
      | 6       | 0       | 500    | 6   | 4   | 4    |
      | 16      | 3       | 500    | 4   | 0   | -5   |
      | 0       | 0       | 6000   | 0   | 0   | 0    |

  Scenario: Slots that are taken back stay free for a while
    # Guards against batch items that refill the slots before online requests use them.
    Given a target with 16 slots and a reserve of 2
    And a report of 10 running and 0 waiting, 500 ms old
    And 10 own items in flight that the report has seen
    When 3 slots are taken back
    Then the 3 youngest items are chosen
    And there is room for 1 more items
    And there is room for 4 more items after 2.1 s

  Scenario: Running items stop at once when slots are taken back
    # Guards against online requests that wait for batch items to end.
    Given a runner with an engine of 8 slots and items of 5000 ms
    When items run in 8 slots and 4 of them are taken back
    Then the engine has cancelled 4 runs within 1 s
    And the cancelled items are not failed

  Scenario: One daemon sends to a target
    # Guards against two batch senders that fill the same slots.
    Given daemons in two regions
    Then each target has one sender in its own region
    And the death of a sender moves only its own targets

  Scenario: A small urgent job goes before a large late one
    # Guards against jobs that miss their deadline behind one that can't meet its own.
    Given open jobs
      | job   | organisation | items  | deadline_s |
      | large | acme         | 100000 | 60         |
      | small | acme         | 100    | 90         |
      | later | acme         | 100    | 600        |
    Then the order at 10 items per s is "small later large"

  Scenario: Jobs of an organisation above its share are deferred first
    # Guards against one organisation that delays the jobs of all others.
    Given open jobs
      | job | organisation | items | deadline_s |
      | a1  | acme         | 400   | 100        |
      | a2  | acme         | 400   | 100        |
      | b1  | birch        | 450   | 100        |
    Then the order at 10 items per s is "a2 b1 a1"

  Scenario: A job at risk is reported before it is late
    # Guards against a missed deadline without a warning.
    Given open jobs
      | job  | organisation | items | deadline_s |
      | fine | acme         | 100   | 100        |
      | slow | acme         | 880   | 100        |
    Then the risks at 10 items per s are "fine=on_time slow=at_risk"
    And the log reported "slow" once in two reports

  Scenario: Daemons prefer different jobs
    # Guards against conflicting claims because all daemons choose the same job.
    Given 20 open jobs of one chunk and 10 daemons
    Then at least 8 different jobs are first for some daemon

  Scenario: An upload is stored while it arrives, in bounded memory
    # Guards against a file that is buffered as a whole or split incorrectly.
    When a file of 100000 lines arrives in pieces of 64 KiB
    Then it is stored in 196 segments of at most 512 lines and 4194304 bytes
    And the writer used at most 24 MiB at once
    And the concatenated segments equal the file

  Scenario: A draining daemon releases its chunks with the finished results
    # Guards against finished items that run again after a drain.
    Given a runner with an engine of 8 slots and items of 100 ms
    When the runner is drained after some items have ended
    Then the chunk is released with the finished results
    And another runner completes the job without running finished items again

  Scenario: A daemon retains open jobs beyond the pages that it reads
    # Guards against chunks of a dead daemon that no other daemon finds, because one
    # listing covers only a part of the open jobs.
    Given a runner that serves one of two models and 400 open jobs
    When it has listed the open jobs as often as there are pages
    Then all 20 open jobs of its model are candidates
    And a job that has ended is no candidate after the next listing
