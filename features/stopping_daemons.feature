Feature: What clients have sent to a daemon that stops is answered

  # Pattern: a planned stop under load. Guards against connections that the system has
  # accepted and the daemon has not: closing the listener would reset them.
  Scenario: Connections that wait to be accepted are served
    Given a server whose loop is busy while 20 clients connect and send a request
    When it closes its listener before it has accepted them
    Then all 20 clients get a whole answer

  # Guards against answers that are still in the process's buffers when it ends.
  Scenario: A stop waits until a slow client has the whole answer
    Given a server with an answer of 200 kB
    When a client that reads slowly asks for it and the server stops
    Then the server is busy until the client has all of it
