Feature: A sound target may be silent for a while

  # Guards against ending a stream because its target is silent, though the target goes on
  # and no other run can take the stream over.
  Scenario Outline: A stream is whole although its target is silent for <silence> s
    Given <targets> targets behind a daemon with <route>
    When 16 clients request streams while the first target is silent for <silence> s
    Then each client has the whole stream or was told that it has not run
    And no stream was cut

    Examples: one attempt is allowed
      | targets | route                          | silence |
      | 2       | a resumable route, one attempt | 0.8     |
      | 2       | a resumable route, one attempt | 1.3     |
      | 2       | a resumable route, one attempt | 1.8     |
      | 1       | a resumable route, one attempt | 1.3     |
      | 1       | a resumable route, one attempt | 1.8     |

    Examples: more attempts are allowed
      | targets | route             | silence |
      | 2       | a resumable route | 0.8     |
      | 2       | a resumable route | 1.3     |
      | 2       | a resumable route | 1.8     |
      | 1       | a resumable route | 1.8     |

  # Guards against an error for a whole request because its target is silent, though the
  # target goes on within the request's time.
  Scenario Outline: A whole response arrives although its target is silent for <silence> s
    Given 2 targets behind a daemon with <route>
    And the targets send whole responses
    When 16 clients request a whole response while the first target is silent for <silence> s
    Then each client has the whole response or was told that it has not run

    Examples:
      | route                             | silence |
      | a repeatable route, one attempt   | 1.3     |
      | a repeatable route, one attempt   | 1.8     |
      | a route that may be repeated      | 1.8     |
      | a route that may run once         | 1.8     |

  # Guards against a request that goes on at two targets, against runs that nobody reads,
  # and against more targets than its route allows.
  Scenario Outline: A silent target's run ends once another one has taken over
    Given 3 targets behind a daemon with <route>
    When a client requests a stream whose target is silent for 30 s after <events> events
    Then the client has the whole stream
    And at most 2 targets have run it, and each run but the last has been cancelled
    And no slot is held

    Examples:
      | route             | events |
      | a resumable route | 0      |
      | a resumable route | 3      |

  # Guards against a request on which two targets work for more than 400 ms, the bound of
  # the users, because neither of them answers.
  Scenario: A request is on two targets for a moment only, also if neither answers
    Given 3 targets behind a daemon with a resumable route
    When a client requests a stream whose target is silent and the next begins after 0.5 s
    Then the client has the whole stream
    And at most 2 targets have run it, and each run but the last has been cancelled
    And two targets have worked on it for 400 ms at most

  # Guards against a stream that waits for a target that has ended, though it may go on at
  # another one.
  Scenario Outline: A stream goes on elsewhere when its silent target has ended
    Given 2 targets behind a daemon with a resumable route, one attempt
    When a client requests a stream whose target <ends> after 3 events
    Then the client has the whole stream

    Examples:
      | ends                                          |
      | is silent and refuses connections             |
      | is silent and accepts no connections          |

  # Guards against a target without new work long after it has gone on, and against new
  # work for one that is silent still.
  Scenario Outline: A target gets work again as soon as it sends anything
    Given a target that has been silent, so that another one took a stream over
    When it <sends>
    Then it <gets> new work

    Examples:
      | sends                | gets     |
      | sends nothing        | gets no  |
      | sends an event       | gets     |

  # Guards against runs for a client that has left while its target was silent.
  Scenario: A client that leaves during a silence ends all runs of its request
    Given 2 targets behind a daemon with a resumable route
    When a client leaves while the target of its stream and a second one are silent
    Then within 500 ms no target is running its request
    And no slot is held

  # Guards against a request that may go on only at a target that was silent and has then
  # refused it, as if the target had run it.
  Scenario Outline: A request is run elsewhere when its silent target refuses it at last
    Given 2 targets behind a daemon with <route>
    When a client's target is silent for 1.6 s and then refuses all requests
    Then the client has an answer of the other target

    Examples:
      | route                           |
      | a resumable route, one attempt  |
      | a repeatable route, one attempt |

  # Guards against taking the time in which the daemon itself stood still for a silence of
  # its targets: each of its requests would be sent to a second target.
  Scenario: A daemon that stood still takes no target for silent
    Given 2 targets behind a daemon with a resumable route
    When the daemon stands still for 0.8 s while a client reads a stream
    Then no request was sent to a second target

  # Guards against requests that leave a sound target in a silence, as if it had ended,
  # because it refused connections in an earlier one.
  Scenario: What a probe found in an earlier silence says nothing of a later one
    Given a target that refused connections while it was silent
    When it is silent once more, 1.2 s after it accepts connections again
    Then it does not count as ended

  # Guards against ending a request whose silent target goes on because the second target
  # that got it meanwhile has failed.
  Scenario Outline: A request outlives a second target that <fails>
    Given 2 targets behind a daemon with <route>
    When a client's target is silent for <silence> s after <events> events and the other <fails>
    Then the client has an answer of the first target, though the second was tried

    Examples:
      | route                        | silence | events | fails                 |
      | a resumable route            | 1.2     | 3      | has status 500        |
      | a resumable route            | 1.2     | 3      | closes the connection |
      | a resumable route            | 1.2     | 3      | refuses all requests  |
      | a route that may be repeated | 1.7     | 0      | has status 500        |
      | a route that may be repeated | 1.7     | 0      | closes the connection |

  # Guards against "not run" for a request that has run at a silent target which then
  # ended, because the second target refused it.
  Scenario: A request that ran at a silent target is not said to have not run
    Given 2 targets behind a daemon with a route that may be repeated
    When a client's target is silent and ends after 2 s and the other refuses all requests
    Then the client is not told that it has not run

  # Guards against an error for a request that was taken from its silent target, because
  # the second target has then broken off, though both may run it again in its time.
  Scenario Outline: A request goes on when the second target breaks off too late
    Given 2 targets behind a daemon with <route>
    When a client's target is silent for 1.6 s and the other breaks off 0.3 s after it began
    Then the client has a whole answer

    Examples:
      | route                        |
      | a resumable route            |
      | a route that may be repeated |
