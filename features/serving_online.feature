Feature: Online requests get a complete response or a correct error

  Scenario: A stream is relayed event by event with the target's signature
    Given 2 targets behind a daemon with a resumable route
    When a client requests a stream
    Then it receives each of the 6 events once, in order, and the end
    And the response has the signature of a target that ran the request
    And the request has run once, with the client's path and body

  # Guards against lost, duplicate or joined events when a target breaks off.
  Scenario Outline: A broken stream resumes on another target at the next event
    Given 2 targets behind a daemon with a resumable route
    And each target's first stream is <cut>
    When a client requests a stream
    Then it receives each of the 6 events once, in order, and the end
    And the second run resumed after the events that the client had

    Examples:
      | cut                              |
      | cut behind 3 events              |
      | cut in the middle of the 4th     |
      | cut before its first event       |

  # Guards against a truncated response that looks complete, and against a second run.
  Scenario: A broken stream that may not be resumed stays incomplete
    Given 2 targets behind a daemon with a route that may not be resumed
    And each target's first stream is cut behind 3 events
    When a client requests a stream
    Then it receives 3 events but not the end
    And the request has run once, with the client's path and body

  # Guards against a second run of a request that is not idempotent.
  Scenario Outline: A request that may have run is retried only where that is allowed
    Given 2 targets behind a daemon with <route>
    And each target reads its first request and closes the connection
    When a client requests a stream
    Then the answer has status <status>
    And the request has run <runs> times

    Examples:
      | route                             | status | runs |
      | a route that may not be resumed   | 502    | 1    |
      | a resumable route                 | 502    | 2    |

  # Guards against relaying a refusal while another target has free slots.
  Scenario: A refused request is sent to another target
    Given 2 targets behind a daemon with a route that may not be resumed
    And the first target refuses its next 3 requests
    When 6 clients request a stream one after the other
    Then each client receives 6 events

  # Guards against telling the client that its request has not run when it may have.
  Scenario Outline: A status that claims that the request has not run is replaced
    Given 1 targets behind a daemon with a route that may not be resumed
    And the target answers with status <given>
    When a client requests a stream
    Then the answer has status <passed>

    Examples:
      | given | passed |
      | 503   | 502    |
      | 429   | 502    |
      | 500   | 500    |
      | 404   | 404    |

  # Guards against relaying a response to the request after its own.
  Scenario: A second response on a reused connection is discarded
    Given 1 targets behind a daemon with a resumable route
    And the target sends a second response after each complete one
    When 4 clients request a stream one after the other
    Then each client receives 6 events

  # Guards against taking the response to an earlier request for that to the next one.
  Scenario: A response to another request is discarded
    Given 1 targets behind a daemon with a resumable route
    And the target sends an extra response before the next one
    When 4 clients request a stream one after the other
    Then each client receives 6 events

  # Guards against work for clients that have disconnected.
  Scenario: A client that disconnects frees the target within half a second
    Given 1 targets behind a daemon with a resumable route
    And the target sends an event every 200 ms
    When a client requests a stream and disconnects after 300 ms
    Then within 500 ms the target has cancelled its run
    And the target has no recorded load

  # Guards against work for a client that has disconnected before the response started.
  Scenario: A client that disconnects before the first event frees the target too
    Given 1 targets behind a daemon with a resumable route
    And the target responds after 900 ms
    When a client requests a stream and disconnects after 300 ms
    Then within 500 ms the target has cancelled its run
    And the target has no recorded load

  # Guards against requests that exceed the operator's timeout.
  Scenario: A request ends at the timeout of its route
    Given 1 targets behind a daemon with a route of 400 ms timeout
    And the target reads requests but never responds
    When a client requests a stream
    Then the answer has status 504
    And it arrived between 380 and 650 ms after the request

  # Guards against waiting for an unresponsive target.
  Scenario: A stream resumes on another target when its target is unresponsive
    Given 2 targets behind a daemon with a resumable route
    When a client requests a stream whose target stops sending half-way
    Then it receives each of the 6 events once, in order, and the end
    And it took less than 2 s

  # Guards against counting the close of an idle connection as a failure of the target,
  # and against sending a request that must run once on such a connection.
  Scenario Outline: A target may close an idle connection without notice
    Given 1 targets behind a daemon with <route>
    And the target resets reused connections when a request is sent on them
    When 3 clients request a stream, one every <pause> ms
    Then each client receives 6 events
    And the target is not marked as failing

    Examples:
      | route                             | pause |
      | a resumable route                 | 10    |
      | a route that may not be resumed   | 400   |

  # Guards against sending requests to the new owner of a former target's address.
  Scenario: A target whose address belongs to another target gets no more requests
    Given 2 targets behind a daemon with a route that may not be resumed
    And the first target is replaced by another one at its address
    When 6 clients request a stream at the same time
    Then each client receives 6 events
    And the replaced target is no longer registered

  # Guards against a 404 for a path that the configuration may define.
  Scenario: A daemon without a configuration reports that the request has not run
    Given a daemon without a configuration
    When a client requests a stream
    Then the answer has status 503
    And the response has a Retry-After header

  # All daemons restart under load. Guards against refusals by a daemon that is about to
  # load its targets.
  Scenario: A request to a daemon that is starting waits for the configuration
    Given 2 targets behind a daemon with a resumable route
    And the daemon loads its configuration 300 ms after it started to listen
    When a client requests a stream
    Then it receives each of the 6 events once, in order, and the end

  Scenario: A path without a route is not found
    Given 1 targets behind a daemon with a resumable route
    When a client requests the path "/other/1"
    Then the answer has status 404

  # Guards against request smuggling and against unbounded input.
  Scenario Outline: Malformed and oversized requests are rejected
    Given 1 targets behind a daemon with a resumable route
    When a client sends <input>
    Then the answer has status <status>
    And no target has run a request

    Examples:
      | input                              | status |
      | bytes that are not HTTP            | 400    |
      | two lengths that differ            | 400    |
      | headers of 6000 bytes              | 431    |
      | a body of 200000 bytes             | 413    |

  # Guards against closing a connection on which another request has been read.
  Scenario: Pipelined requests get their responses in order
    Given 1 targets behind a daemon with a resumable route
    When a client pipelines 3 requests on one connection
    Then it receives 3 responses, each with the events of its own request
