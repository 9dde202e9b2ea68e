Feature: A stopping daemon responds to the requests that it has received

  # A planned stop under load. Closing the listener resets the connections that the
  # kernel has accepted and the daemon has not. Guards against losing their requests.
  Scenario: Connections in the backlog are served
    Given a server whose event loop is blocked while 20 clients send a request
    When it closes its listener before it has accepted their connections
    Then all 20 clients receive a complete response

  # Guards against exiting while parts of responses are still in the process's buffers.
  Scenario: A stop waits until a slow client has the complete response
    Given a server with a response of 200 kB
    When a client that reads slowly requests it and the server stops
    Then the server has an active connection until the client has all of it

  # Guards against giving up a client that reads all the time, after a fixed time.
  Scenario: A stop waits as long as a very slow client goes on reading
    Given a server with a response of 1200 kB
    When a client that reads 200 kB per second requests it and the server stops
    Then the server has an active connection until the client has all of it

  # Guards against the same on a connection that is kept: it waits for its next request
  # while the end of its response is still in the process's buffers.
  Scenario: A stop waits until a slow client has the response on a kept connection
    Given a server with a response of 200 kB
    When a client that reads slowly requests it to keep its connection and the server stops
    Then the server has an active connection until the client has all of it

  # Guards against refusing to read a request that arrived in time, because the daemon was
  # held up until its time limit had passed too.
  Scenario: A head that arrived in time is read by a daemon that was held up
    Given a server that reads heads within 300 ms
    When half of a head comes, and the rest just before the server is held up
    Then it has a complete response

  # Guards against losing a request on a connection that a stop is about to close: after the
  # listener is closed, a kept connection takes no further request.
  Scenario: A stopping server reads no request behind its last response
    Given a server whose response has begun before it stops
    When the response ends after the listener was closed and the client sends a request
    Then the client has the response and its connection is closed
    And the server has read 1 request
