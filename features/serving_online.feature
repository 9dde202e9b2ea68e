Feature: A client gets the whole answer to its own request, or the truth about it

  Scenario: A stream is passed on event by event with the target's signature
    Given 2 targets behind a daemon with a resumable route
    When a client asks for a stream
    Then it gets each of the 6 events once, in order, and the end
    And it has the signature of a target that ran it
    And the targets have run it once with the client's path and body

  # Guards against lost, repeated or joined pieces when a target breaks off.
  Scenario Outline: A broken stream goes on at the next event of another target
    Given 2 targets behind a daemon with a resumable route
    And each target's first stream is <cut>
    When a client asks for a stream
    Then it gets each of the 6 events once, in order, and the end
    And the second run began behind the events that the client had

    Examples:
      | cut                              |
      | cut behind 3 events              |
      | cut in the middle of the 4th     |
      | cut before its first event       |

  # Guards against a truncated answer that looks whole, and against a second run.
  Scenario: A broken stream that may not be resumed ends without its end
    Given 2 targets behind a daemon with a route that may not be resumed
    And each target's first stream is cut behind 3 events
    When a client asks for a stream
    Then it gets 3 events and no end
    And the targets have run it once with the client's path and body

  # Guards against a second run of what must run once.
  Scenario Outline: A request that may have run is sent again only where that is allowed
    Given 2 targets behind a daemon with <route>
    And each target reads its first request and closes the connection
    When a client asks for a stream
    Then the answer has status <status>
    And the targets have run it <runs> times

    Examples:
      | route                             | status | runs |
      | a route that may not be resumed   | 502    | 1    |
      | a resumable route                 | 502    | 2    |

  # Guards against refusals that are passed on although others have room.
  Scenario: What a target has not run goes to another one
    Given 2 targets behind a daemon with a route that may not be resumed
    And the first target refuses its next 3 requests
    When 6 clients ask for a stream one after the other
    Then all of them get 6 events

  # Guards against a status that promises more than is known.
  Scenario Outline: A status that promises too much is not passed on
    Given 1 targets behind a daemon with a route that may not be resumed
    And the target answers with status <given>
    When a client asks for a stream
    Then the answer has status <passed>

    Examples:
      | given | passed |
      | 503   | 502    |
      | 429   | 502    |
      | 500   | 500    |
      | 404   | 404    |

  # Guards against an answer that goes to the request after the one it belongs to.
  Scenario: A second answer on a kept connection reaches nobody
    Given 1 targets behind a daemon with a resumable route
    And the target sends a second answer behind each whole one
    When 4 clients ask for a stream one after the other
    Then all of them get 6 events

  # Guards against an answer to a former request that is taken for the next one's.
  Scenario: A foreign answer where the next one is due is passed to nobody
    Given 1 targets behind a daemon with a resumable route
    And the target sends a second answer where the next one is due
    When 4 clients ask for a stream one after the other
    Then all of them get 6 events

  # Guards against work for clients that are gone.
  Scenario: A client that leaves frees the target within half a second
    Given 1 targets behind a daemon with a resumable route
    And the target makes an event every 200 ms
    When a client asks for a stream and leaves after 300 ms
    Then within 500 ms the target has cancelled its run
    And no request is counted on the target

  # Guards against work for a client that is gone before there is anything to send it.
  Scenario: A client that leaves before the first event frees the target too
    Given 1 targets behind a daemon with a resumable route
    And the target takes 900 ms before it answers
    When a client asks for a stream and leaves after 300 ms
    Then within 500 ms the target has cancelled its run
    And no request is counted on the target

  # Guards against requests that outlive the operator's limit.
  Scenario: A request ends at the timeout of its route
    Given 1 targets behind a daemon with a route of 400 ms timeout
    And the target reads requests and says nothing
    When a client asks for a stream
    Then the answer has status 504
    And it came between 380 and 650 ms after the request

  # Guards against waiting for a target that has gone dark.
  Scenario: A stream leaves a target that goes silent
    Given 2 targets behind a daemon with a resumable route
    When a client asks for a stream whose target stops sending in the middle
    Then it gets each of the 6 events once, in order, and the end
    And it took less than 2 s

  # Guards against blame on a target that dropped a connection while it was idle, and
  # against a request that must run once and goes out on such a connection.
  Scenario Outline: A target may drop a kept connection without notice
    Given 1 targets behind a daemon with <route>
    And the target resets kept connections when something is sent on them
    When 3 clients ask for a stream, one every <pause> ms
    Then all of them get 6 events
    And the target is not held to be failing

    Examples:
      | route                             | pause |
      | a resumable route                 | 10    |
      | a route that may not be resumed   | 400   |

  # Guards against a send to whoever has a former target's address.
  Scenario: A target whose address has another target gets no more work
    Given 2 targets behind a daemon with a route that may not be resumed
    And the first target is replaced by another one at its address
    When 6 clients ask for a stream at the same time
    Then all of them get 6 events
    And the replaced target is no longer known

  # Guards against 404 for what a configuration may allow.
  Scenario: A daemon without a configuration says that it has not run the request
    Given a daemon without a configuration
    When a client asks for a stream
    Then the answer has status 503
    And the answer says when to come back

  # Pattern: all daemons start again while requests come.
  # Guards against refusals by a process that would know its targets a moment later.
  Scenario: A request that meets a daemon which is just starting waits a little
    Given 2 targets behind a daemon with a resumable route
    And the daemon learns its configuration 300 ms after it began to listen
    When a client asks for a stream
    Then it gets each of the 6 events once, in order, and the end

  Scenario: A path without a route is not found
    Given 1 targets behind a daemon with a resumable route
    When a client asks for the path "/other/1"
    Then the answer has status 404

  # Guards against requests smuggled inside others and against endless input.
  Scenario Outline: Input that is no proper request is refused
    Given 1 targets behind a daemon with a resumable route
    When a client sends <input>
    Then the answer has status <status>
    And the targets have run nothing

    Examples:
      | input                              | status |
      | bytes that are not HTTP            | 400    |
      | two lengths that differ            | 400    |
      | headers of 6000 bytes              | 431    |
      | a body of 200000 bytes             | 413    |

  # Guards against a connection that is closed under a request that was read.
  Scenario: Several requests on one connection are answered in order
    Given 1 targets behind a daemon with a resumable route
    When a client sends 3 requests at once on one connection
    Then it gets 3 answers, each with the events of its own request
