Feature: A request that was read and is not answered leaves a trace

  # Guards against a lost request that the logs and metrics do not show: its id and the
  # cause for which its connection ended.
  Scenario Outline: The log names a request <case>
    Given a server whose handler <manner>
    When one request is read and <action>
    Then the log says that the request ended by "<cause>" 1 times
    And as many requests are counted for the cause

    # A client that ends its side cannot be told from one that has left.
    Examples:
      | case                         | manner                  | action                   | cause          |
      | whose client has left        | waits                   | its client leaves        | client_left    |
      | whose client ended its side  | waits                   | its client ends its side | client_left    |
      | whose response is broken off | breaks its response off | its client reads         | broken_off     |
      | whose response fails         | fails in its response   | its client reads         | handler_failed |
      | that a stop cuts             | begins and waits        | the server stops         | stopped        |

  # Guards against counting requests that have their whole response.
  Scenario: The log names no request that was answered
    Given a server whose handler responds
    When one request is read and its client reads
    Then the log says that the request ended by "handler_failed" 0 times
    And as many requests are counted for the cause

  # Guards against closing a connection without a word under a request that was read,
  # because a part of the daemon has failed: its client must be told that it may have run.
  Scenario Outline: A request whose handler <manner> gets an error
    Given a server whose handler <manner>
    When one request is read and its client reads
    Then the client has a response with status 500
    And the log says that the handler failed by "<cause>"

    Examples:
      | manner                       | cause       |
      | is cancelled by another part | cancelled   |
      | returns without a response   | no response |
