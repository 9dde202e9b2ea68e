Feature: Requests under which targets crash behind the first event are kept from them

  # Guards against a segment that a first event clears, so that each of its requests is
  # resumed at one target after the other and crashes them all.
  Scenario Outline: A segment that crashes targets behind event <event> soon reaches none
    Given a store, 5 targets and 3 daemons
    And targets that crash on the segment "bad" behind event <event> of 20 and return after 1500 ms
    When each daemon has served 12 requests with the segment "shared"
    And for 9 s requests with "shared" and "bad" arrive at every daemon, beside sound ones
    Then at most 3 requests with "bad" reach targets later than 4 s after the fifth crash
    And at least 90% of the sound requests of the last 4 s are served
    And a request with "bad" is refused as not run within 100 ms

    Examples:
      | event |
      | 1     |
      | 15    |

  # Guards against a suspect segment that is cleared by what its target may still end under.
  Scenario Outline: An answer that <ending> leaves its segment <state>
    Given 2 targets behind a daemon with a resumable route
    When the daemon hears that another target has ended under "p", and <what> with "p" <ending>
    Then "p" is <state>

    Examples:
      | what      | ending                                   | state   |
      | an answer | is under way                             | suspect |
      | an answer | is whole                                 | cleared |
      | an answer | is brought by two runs                   | suspect |
      | an answer | ends with its connection                 | cleared |
      | an answer | ends with its connection and target      | suspect |
      | an item   | is whole                                 | cleared |
      | an item   | is brought by two runs                   | suspect |

  # Guards against a popular request that is quarantined since its whole answers, which end
  # with their connections, never clear it.
  Scenario: A request that was answered up to the end of its connection is not accused
    Given 2 targets behind a daemon with a resumable route
    When 4 targets end beside a request that was answered up to the end of its connection
    Then that request is not in quarantine

  # Guards against a request whose target ends just after its client, or another attempt,
  # has cancelled its attempt, so that nothing is known of it.
  Scenario: A request that left its targets just before they ended is suspect
    Given 2 targets behind a daemon with a resumable route
    When clients with "p" leave each target 200 ms before it ends under other requests
    Then "p" is suspect

  # Guards against a sound stream that has no attempts left, or is refused, since targets
  # end under the requests beside it.
  Scenario: A stream is whole although three targets end under others
    Given 5 targets behind a daemon with a resumable route
    When 3 targets end one after the other while they send a stream
    Then the answer has status 200
    And each client receives 20 events
    And the stream's segments are not in quarantine

  # Guards against one request that ends all targets, since each run brings an event and no
  # evidence is kept of requests that have been answered before.
  Scenario: A stream under which targets end is given up after the fourth
    Given 8 targets behind a daemon with a resumable route
    When each target crashes behind 2 events of a request that was answered before
    Then 4 targets have crashed
    And the answer is broken off
