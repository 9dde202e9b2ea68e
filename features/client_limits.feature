Feature: Each limit for clients closes or refuses only what it is for

  # Guards against a cut in the middle of responses, and against requests that run
  # although their client never gets a response.
  Scenario: A client that sends many requests ahead gets whole responses up to the limit
    Given a server whose clients may send 3 requests ahead
    When a client sends 10 requests at once
    Then it reads 4 whole responses and the end of the connection
    And 4 requests have run

  # Guards against ordinary callers that are shut out by idle connections.
  Scenario: A new connection of a source at its limit replaces an idle one
    Given a server that allows 2 connections from one source
    When 2 clients send nothing and a third one sends a request
    Then it gets a response with status 200
    And one of the idle connections is closed

  # Guards against requests that run and are cut in favour of others.
  Scenario: A connection whose request runs is not closed for a new one
    Given a server that allows 2 connections in total
    When 2 clients have requests that run and a third one connects
    Then it gets a response with status 503
    And the 2 running requests are answered

  Scenario: A head of too many fields is refused
    Given a server whose clients may send 5 fields
    When a client sends a request with 20 fields
    Then it gets a response with status 431
    And 0 requests have run

  # Guards against bodies that never end, a byte at a time.
  Scenario: A body that takes too long is refused
    Given a server whose clients have 0.3 s for a body
    When a client sends a body of a byte every 0.1 s
    Then it gets a response with status 408
    And 0 requests have run

  # Guards against a limit that cuts responses which ordinary clients read slowly.
  Scenario: A client that takes a part now and then gets its whole response
    Given a server whose responses have 3000000 bytes
    When a client reads 200000 bytes every 0.4 s
    Then it has read the whole response

  # Guards against a turn that is lost with a connection which was closed meanwhile.
  Scenario: A turn goes to the next one when the wait for it is ended
    Given costly work in turns
    When the second of 4 that wait is ended
    Then the others have their turns in order

  Scenario: An address that is full does not keep others from making room
    Guards against clients of one address that stop all others, since a look that
    found nothing to close counted for every address.

    Given room for 3 connections and 2 of each address
    And 2 busy connections of one address and an idle one of another
    When one more of the full address and one of a third address come
    Then the first of them is rejected and the idle one makes room for the other
