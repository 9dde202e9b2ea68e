Feature: Targets that leave, break HTTP or answer the wrong request

  # Guards against requests that reach a target after one of its answers, of whatever
  # kind, has said that it leaves; no store is asked here at all.
  Scenario Outline: A target that says that it leaves gets no more requests
    Given 2 targets behind a daemon with a resumable route
    And the first target says that it leaves, in <answer>
    When 12 clients ask for a stream one after the other
    Then the first target has had at most 1 request
    And all of them get 6 events

    Examples:
      | answer                 |
      | a whole answer         |
      | a refusal              |
      | an answer that is cut  |

  # Guards against a mark that is lost when a registration lapses and comes back, and
  # against one that outlives the run of the target that it belongs to.
  Scenario Outline: The mark of a leaving target belongs to one run of it
    Given a target that has said that it leaves
    When its registration lapses and comes back <how>
    Then the target gets <work>

    Examples:
      | how                  | work       |
      | unchanged            | no work    |
      | with a later start   | work again |

  # Guards against a request that is sent to a target which it chose before the target
  # said that it leaves.
  Scenario: A request that waits for a place does not go to a target that leaves
    Given 2 targets behind a daemon with a resumable route
    And the first target says that it leaves, in a whole answer
    When 30 clients ask for a stream at the same time, after one of them
    Then all of them get 6 events
    And the first target has had at most 1 request

  # Guards against a daemon whose memory fills up, or a request that waits until its time
  # is over or the target counts as silent, while a target sends bytes that are no answer.
  Scenario Outline: Bytes without end that are no answer are left
    Given 2 targets behind a daemon with a resumable route
    And each target's first answer is a flood in <where>
    When a client asks for a stream
    Then it gets each of the 6 events once, in order, and the end
    And it took less than 1 s
    And no target has sent more than 4 MB of a flood

    Examples:
      | where                    |
      | its head                 |
      | one line of its head     |
      | answers before the final |
      | the body of a refusal    |
      | an event                 |

  # Guards against a stream that is kept open by single bytes while no event comes.
  Scenario: A stream whose events stop goes on elsewhere although bytes come
    Given 2 targets behind a daemon with a resumable route
    And the first stream sends single bytes behind 3 events
    When a client asks for a stream
    Then it gets each of the 6 events once, in order, and the end
    And it took less than 2 s

  # Guards against sound streams that are cut for being slow.
  Scenario: A slow stream is not cut
    Given 2 targets behind a daemon with a resumable route
    And each target makes an event every 400 ms
    When a client asks for a stream
    Then it gets each of the 6 events once, in order, and the end
    And the targets have run it 1 times

  # Guards against slow streams that are taken for silent ones again and again.
  Scenario: A stream slower than usual silence goes on
    Given 1 targets behind a daemon with a resumable route
    And the route's timeout is 9 s
    And each target makes an event every 700 ms
    When a client asks for a stream
    Then it gets each of the 6 events once, in order, and the end
    And the targets have run it at most 3 times

  # Guards against success that the target has not signed.
  Scenario Outline: A success without a signature is not passed on
    Given 1 targets behind a daemon with a route that may not be resumed
    And the target leaves out its signature and answers with <body>
    When a client asks for a stream
    Then the answer has status 502

    Examples:
      | body     |
      | a stream |
      | a length |

  # Guards against the second half of one answer behind the first half of another one.
  Scenario: A large answer that breaks off is not completed by another one
    Given 2 targets behind a daemon with a route that may be repeated
    And each target closes behind half of its first answer of 3 MB
    When a client asks for a stream
    Then the answer is not whole and belongs to one target
    And the targets have run it 1 times

  # Guards against a torn event that is passed on as the end of a stream.
  Scenario: A stream that is closed in the middle of an event goes on elsewhere
    Given 2 targets behind a daemon with a resumable route
    And the first stream is closed in the middle of its last event
    When a client asks for a stream
    Then it gets each of the 6 events once, in order, and the end

  Scenario: A stream that is closed in the middle of an event and can't go on has no end
    Given 1 targets behind a daemon with a route that may not be resumed
    And the first stream is closed in the middle of its last event
    When a client asks for a stream
    Then it gets 5 events and no end

  # Guards against an orderly close that a client of HTTP/1.0 takes for the end.
  Scenario: A broken answer fails at a client that knows no chunks
    Given 1 targets behind a daemon with a route that may not be resumed
    And each target's first stream is cut behind 3 events
    When a client of HTTP/1.0 asks for a stream
    Then its connection is reset

  # Guards against a late copy of a refusal that is taken for the answer to the same
  # attempt, which by then runs: it would run twice, or be said not to have run.
  Scenario: A second copy of a refusal is not taken for a new one
    Given 1 targets behind a daemon with a route that may not be resumed
    And the target refuses one request and sends the refusal again later
    When a client asks for a stream
    Then the targets have run it 1 times
    And it gets each of the 6 events once, in order, and the end

  # Guards against the answer to another request that is passed on as this one's.
  Scenario: A late answer to another request is passed to nobody
    Given 1 targets behind a daemon with a route that may be repeated
    And the target answers with a length, and late once more where the next one is due
    When 4 clients ask for a stream one after the other
    Then all of them get the body that the target made for them

  # Guards against bytes that fill the memory behind idle connections.
  Scenario: A connection on which bytes come unasked is closed
    Given an idle connection to a target
    When the target sends bytes on it
    Then the connection is closed and none of the bytes are kept
