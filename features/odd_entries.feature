Feature: Data of another writer that can't be used costs nothing but itself

  # Guards against requests that fail, because one entry among the sound targets' entries
  # holds a value with which the daemon can't compute or connect.
  Scenario Outline: One odd entry among sound targets fails no request: <field> is <value>
    Given 2 targets behind a daemon with a route that may be repeated
    When 20 clients request beside an entry whose <field> is <value>
    Then all of them are served
    And the odd entry has left 1 log line and no target

    Examples:
      | field   | value                   |
      | slots   | 401 digits              |
      | slots   | 2**64                   |
      | born    | 401 digits              |
      | address | "a..b:80"               |
      | address | "a\u0000b:80"           |
      | address | "127.0.0.1:65536"       |
      | address | "127.0.0.1:99999999999" |
      | zone    | nested lists            |

  # Guards against a daemon that ends, or stops to follow the targets, at an odd row or
  # datagram; and against members' ports to which nothing can be sent.
  Scenario: Daemon processes go on beside odd rows in each table and odd datagrams
    Given a store, 2 targets and 2 daemons
    When odd rows are written to each table, and odd datagrams are sent
    And both targets are replaced by a new one
    Then each daemon serves a request at the new target within 5 s
    And no daemon has ended or failed to apply a row

  # Guards against a value that passes in a field that nobody tried.
  Scenario: No odd value in any field of an entry makes a target
    Given a daemon that follows a table through its targets' registrations
    When the table holds each odd value in each field of an entry, then a sound entry
    Then each odd entry has left 1 log line and no target
    And the sound entry has made a target

  # Guards against a configuration with an odd value that comes into force, or that ends
  # the feed of those after it.
  Scenario: An odd value in any part of a configuration keeps the last one in force
    Given a daemon that follows the configuration
    When configurations with each odd value in each part are written, then a sound one
    Then each of them has left 1 log line, or is in force without the odd value
    And the sound configuration is in force

  # Guards against a row of daemons, jobs or quarantines that looks sound when it is read
  # and stops the task that computes with it later.
  Scenario Outline: No odd value in any field of the row of <kind> is applied
    Given a daemon that follows the state of <kind>
    When the table holds each odd value in each field of its row, then a sound row
    Then each odd row has left 1 log line "<event>" and nothing else
    And the sound row is applied

    Examples:
      | kind         | event                     |
      | a job        | job_row_unreadable        |
      | a daemon     | member_row_unreadable     |
      | a quarantine | quarantine_row_unreadable |

  # Guards against a datagram whose odd value turns into another one, or into a number
  # with which the daemon can't compute.
  Scenario Outline: No odd value in any field of a datagram is taken for another: <kind>
    When each odd value takes the place of each part of <kind>
    Then the datagram is refused, or says what it holds and no number out of range

    Examples:
      | kind                   |
      | a report               |
      | a membership notice    |
      | a request for a slot   |
      | a granted slot         |
      | a refused slot         |
      | a released slot        |
      | quarantine news        |
      | rate limits            |
      | a request for a token  |
      | a granted token        |

  # Guards against an item that is accepted and then fails each run before it is sent, and
  # against 500 for a job that can't be read.
  Scenario: A job with an odd value in any field of its items is refused and others run
    Given a store, 1 targets and 1 daemons
    When jobs with each odd value in each field of an item are submitted
    Then each of these jobs is refused with 400, or 413 where it is too long
    When a job of 2 items is submitted to the first daemon
    Then the first daemon lists 2 completed results within 8 s

  # Guards against 500, or an answer that never comes, for a number in a header or in a
  # query with which the daemon can't compute.
  Scenario: A client's odd number in a header or a query costs no answer
    Given a store, 1 targets and 1 daemons
    When a job of 2 items is submitted to the first daemon
    And clients send odd numbers with requests, submissions and calls on the job
    Then each of them is answered within 3 s, and none with 500

  # Guards against a submission that is tried for good, since its client says that it
  # waits for ever, and against connections that never count as idle.
  Scenario: An odd number in a header gives no time without an end
    When a daemon reads heads with each odd number as a time
    Then each of these times is missing, or at most one day

  # Guards against the head or the event of a target that fails the request or the item
  # that it answers, or a later one on the same connection.
  Scenario Outline: A target's odd <line> costs no answer
    Given 1 targets behind a daemon with a route that may be repeated
    When 12 clients request beside a target that answers with "<line>: <value>"
    Then all of them are served
    And no handler has failed

    Examples:
      | line           | value         |
      | Keep-Alive     | timeout=DIGITS |
      | Keep-Alive     | timeout=-1    |
      | Retry-After    | DIGITS        |
      | Retry-After    | nan           |
      | Server-Limit   | DIGITS        |
      | Server-Limit   | inf           |
      | Server-Limit   | -1            |
      | Content-Length | DIGITS        |
      | Content-Length | -1            |
      | Attempt-Id     | DIGITS        |
      | Attempt-Id     | \xe9         |
      | Weight-Versions | DIGITS       |

  # Guards against an item that starts again at once after an event whose number can't be
  # read.
  Scenario: An event with a number of 5,000 digits counts as a gap in an item
    When an item gets an event with a number of 5000 digits
    Then the event is not added

  # Guards against 500 for a read of a job, and a job that no daemon takes over, because of
  # a row beside the one that is read.
  Scenario: Odd rows of a job's items, results and progress cost only themselves
    Given a stored job with 2 results and the progress of 2 items
    When each odd value takes the place of each part of its first rows
    Then a read of the item whose rows are odd is unsure, or finds what they hold
    And the second result and the progress of the second item are read

  # Guards against a daemon that stops following a table at the first row that it can't
  # apply, or at a value that is no base64.
  Scenario Outline: A feed goes on after <row>
    Given a daemon that follows a table whose first read has <row>
    When the daemon has read the table, and a sound row is written
    Then it has reported the rows "<keys>"

    Examples:
      | row                            | keys             |
      | a row whose observer fails     | sound, odd, late |
      | a row whose observer overflows | sound, odd, late |
      | a value that is not ASCII      | sound, odd, late |
      | a value of 401 digits          | sound, odd, late |
      | a value that is a list         | sound, odd, late |
      | a row without a key            | sound, late      |
      | a row without a version        | sound, late      |
      | a row that is a number         | sound, late      |
      | a key that is a number         | sound, late      |
