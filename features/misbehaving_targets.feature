Feature: Targets that drain, violate HTTP or respond to the wrong request

  # Guards against requests to a target after any kind of response has reported that it
  # is draining. The store plays no part in this.
  Scenario Outline: A target that reports that it is draining gets no more requests
    Given 2 targets behind a daemon with a resumable route
    And the first target reports that it is draining, in <answer>
    When 12 clients request a stream one after the other
    Then the first target has received at most 1 request
    And each client receives 6 events

    Examples:
      | answer                 |
      | a whole answer         |
      | a refusal              |
      | an answer that is cut  |

  # Guards against losing the draining state when a registration expires and returns, and
  # against keeping it for the next incarnation of the target.
  Scenario Outline: The draining state belongs to one incarnation of a target
    Given a target that has reported that it is draining
    When its registration expires and returns <how>
    Then the target gets <work>

    Examples:
      | how                  | work       |
      | unchanged            | no work    |
      | with a later start   | work again |

  # Guards against sending a request to a target that was selected before it reported
  # that it is draining.
  Scenario: A request that waits for a slot is not sent to a draining target
    Given 2 targets behind a daemon with a resumable route
    And the first target reports that it is draining, in a whole answer
    When 30 clients request a stream together, once the first target has served one
    Then each client receives 6 events
    And the first target has received at most 1 request

  # Guards against unbounded memory use, and against waiting until the deadline or the
  # inactivity limit, while a target sends bytes that are no valid response.
  Scenario Outline: An endless invalid response is abandoned
    Given 2 targets behind a daemon with a resumable route
    And each target's first response is a flood in <where>
    When a client requests a stream
    Then it receives each of the 6 events once, in order, and the end
    And it took less than 1 s
    And no target has sent more than 4 MB of flood data

    Examples:
      | where                    |
      | its head                 |
      | one line of its head     |
      | answers before the final |
      | the body of a refusal    |
      | an event                 |

  # Guards against a stream that single bytes keep open while no event is completed.
  Scenario: A stalled stream resumes on another target although bytes arrive
    Given 2 targets behind a daemon with a resumable route
    And the first stream sends single bytes after 3 events
    When a client requests a stream
    Then it receives each of the 6 events once, in order, and the end
    And it took less than 2 s

  # Guards against aborting healthy streams that are slow.
  Scenario: A slow stream is not aborted
    Given 2 targets behind a daemon with a resumable route
    And each target sends an event every 400 ms
    When a client requests a stream
    Then it receives each of the 6 events once, in order, and the end
    And the request has run 1 times

  # Guards against taking the target of a slow stream for unresponsive again and again.
  Scenario: A stream with long gaps between its events is completed
    Given 1 targets behind a daemon with a resumable route
    And the route's timeout is 9 s
    And each target sends an event every 700 ms
    When a client requests a stream
    Then it receives each of the 6 events once, in order, and the end
    And the request has run at most 3 times

  # Guards against a success status that does not come from the target.
  Scenario Outline: A success without a signature is not relayed
    Given 1 targets behind a daemon with a route that may not be resumed
    And the target omits its signature and responds with <body>
    When a client requests a stream
    Then the answer has status 502

    Examples:
      | body     |
      | a stream |
      | a length |

  # Guards against joining the halves of two responses.
  Scenario: A large response that breaks off is not completed by another one
    Given 2 targets behind a daemon with a route that may be repeated
    And each target closes half-way through its first response of 3 MB
    When a client requests a stream
    Then the response is incomplete and comes from one target
    And the request has run 1 times

  # Guards against relaying a partial event as the end of a stream.
  Scenario: A stream that is closed in the middle of an event resumes on another target
    Given 2 targets behind a daemon with a resumable route
    And the first stream is closed in the middle of its last event
    When a client requests a stream
    Then it receives each of the 6 events once, in order, and the end

  Scenario: A non-resumable stream closed in the middle of an event stays incomplete
    Given 1 targets behind a daemon with a route that may not be resumed
    And the first stream is closed in the middle of its last event
    When a client requests a stream
    Then it receives 5 events but not the end

  # Without chunked encoding, an orderly close marks the end of a complete response.
  # Guards against a truncated response that looks complete.
  Scenario: A broken response to an HTTP/1.0 client ends with a reset
    Given 1 targets behind a daemon with a route that may not be resumed
    And each target's first stream is cut behind 3 events
    When an HTTP/1.0 client requests a stream
    Then its connection is reset

  # Guards against taking a late copy of a refusal for the response to a retry of the
  # same attempt: the request would run twice, or be reported as not run.
  Scenario: A duplicate refusal is not taken for a new one
    Given 1 targets behind a daemon with a route that may not be resumed
    And the target refuses one request and sends the refusal again later
    When a client requests a stream
    Then the request has run 1 times
    And it receives each of the 6 events once, in order, and the end

  # Guards against relaying the response to another request.
  Scenario: A late response to another request is discarded
    Given 1 targets behind a daemon with a route that may be repeated
    And the target responds with a length, and sends an extra response before the next one
    When 4 clients request a stream one after the other
    Then each client receives the response to its own request

  # Guards against unbounded buffers on idle connections.
  Scenario: An idle connection that receives unexpected bytes is closed
    Given an idle connection to a target
    When the target sends bytes on the connection
    Then the connection is closed and none of the bytes are buffered

  # Guards against an empty stream that counts as whole although its target ended: without
  # a length or chunks the connection's end is the only end that a stream has.
  Scenario: A stream without framing that ends before its first event goes on elsewhere
    Given 2 targets behind a daemon with a resumable route
    And each target's first stream ends with its connection after the head
    When a client requests a stream
    Then it receives each of the 6 events once, in order, and the end

  # The same where it may not run again: the client must not see a whole answer.
  Scenario: An empty stream without framing that may not be resumed is a failure
    Given 2 targets behind a daemon with a route that may not be resumed
    And each target's first stream ends with its connection after the head
    When a client requests a stream
    Then the answer has status 502

  # The same for a batch item, which would be listed as completed without its text.
  Scenario: An item whose stream without framing ends before its first event is run again
    Given a store, 2 targets and 2 daemons
    And targets whose first stream ends with its connection after the head
    When a job of 4 items is submitted to the first daemon
    Then the second daemon lists 4 completed results within 8 s
    And each result has the text of 6 events

  # Guards against refusing what is whole: an answer may end with its connection.
  Scenario Outline: A response without a length or chunks is passed on whole
    Given 1 targets behind a daemon with <route>
    And the target ends <response> with its connection, without a length or chunks
    When a client requests a stream
    Then the answer has status 200
    And the response is complete, with the target's body of <size> bytes

    Examples:
      | route                         | response   | size |
      | a route that may be repeated  | a body     | 4000 |
      | a resumable route             | a stream   | 150  |

  # Guards against half a body that looks whole, since its end is only the connection's.
  Scenario Outline: A response without a length that is reset is not whole
    Given 2 targets behind a daemon with <route>
    And each target resets its first body without a length half-way
    When a client requests a stream
    Then the answer has status <status>
    And the request has run <runs> times

    Examples:
      | route                           | status | runs |
      | a route that may be repeated    | 200    | 2    |
      | a route that may run once       | 502    | 1    |
