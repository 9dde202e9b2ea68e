Feature: Changed limits of clients apply to kept connections

  Background:
    Given a store, 1 targets and 1 daemons

  # Guards against closing a kept connection under a client that goes by the newest idle
  # limit, or by the one before while the change spreads.
  Scenario Outline: A kept connection is not closed early when its idle limit is <change>
    Given the idle limit of clients is <before> ms
    And a client has its response on a connection that it keeps
    When the idle limit of clients becomes <after> ms
    And the client sends its next request after <idle> s of idle time
    Then it has its response on the same connection

    Examples:
      | change  | before | after | idle |
      | raised  | 300    | 8000  | 4.0  |
      | lowered | 8000   | 300   | 4.0  |

  # Guards against closing connections by a limit that clients have not seen yet.
  Scenario: A connection that is used as the idle limit is lowered is not closed early
    Given the idle limit of clients is 8000 ms
    And the idle limit of clients is 300 ms
    And a client has its response on a connection that it keeps
    When the client sends its next request after 1.5 s of idle time
    Then it has its response on the same connection

  # Guards against connections without an end: clients that say nothing hold memory.
  Scenario: An idle connection is closed in the end
    Given the idle limit of clients is 300 ms
    And a client has its response on a connection that it keeps
    When the client sends nothing for 4 s
    Then its connection has been closed

  # Guards against cutting a request whose body arrives slowly, by a lowered limit.
  Scenario: A body that arrives slowly is read though the idle limit is lowered
    Given the idle limit of clients is 8000 ms
    When a client sends half of a body and the idle limit of clients becomes 300 ms
    And it sends the other half after 2 s
    Then it has its response on the same connection

  # Guards against refusing by limits that are in force no longer.
  Scenario Outline: A request above the earlier limit of its <part> is served
    Given a client has its response on a connection that it keeps
    When the limit "<limit>" of clients becomes <after>
    And the client sends a request whose <part> has <size> bytes
    Then it has its response on the same connection

    Examples:
      | part | limit          | after  | size   |
      | body | maxBodyBytes   | 300000 | 200000 |
      | head | maxHeaderBytes | 16000  | 8000   |
