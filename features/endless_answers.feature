Feature: Bytes without end use up no memory and harm no other requests

  Background:
    Given a store, 2 targets and 1 daemons

  # Guards against a daemon that keeps all that faulty targets send, runs out of memory
  # and ends with the requests of all its clients.
  Scenario Outline: A daemon bears targets that send without end in <form> (<kind>)
    Given 6 targets that send without end in <form>
    When 40 clients send <kind> requests to them, and others to sound targets
    Then the daemon has used less memory than its VM has
    And all requests of others are answered in full
    And the targets' calls have ended within the routes' timeout

    Examples:
      | form                    | kind   |
      | a line of the head      | whole  |
      | headers                 | whole  |
      | interim answers         | whole  |
      | no HTTP                 | stream |
      | a refusal               | stream |
      | a body in chunks        | whole  |
      | a body in small chunks  | whole  |
      | a body in small chunks  | once   |
      | a body in small chunks  | stream |
      | a body with a length    | whole  |
      | a body without a length | whole  |
      | a chunk of absurd size  | whole  |
      | a chunk extension       | whole  |
      | trailers                | whole  |
      | one event               | stream |
      | comments                | stream |
      | events                  | stream |
      | bytes behind the answer | whole  |

  # Guards against faults of targets that no operator sees.
  Scenario Outline: Endless bytes in <form> count as a fault of their target
    Given 2 targets that send without end in <form>
    When 4 clients send <kind> requests to them, and others to sound targets
    Then the daemon counts a fault of its targets

    Examples:
      | form                   | kind   |
      | headers                | whole  |
      | a body in small chunks | whole  |
      | one event              | stream |
      | comments               | stream |

  # Guards against memory that grows because clients read more slowly than targets send.
  Scenario Outline: A daemon bears endless <form> to clients that read slowly
    Given 6 targets that send without end in <form>
    When 40 clients that read 1000 bytes a second send <kind> requests to them, and others to sound targets
    Then the daemon has used less memory than its VM has
    And all requests of others are answered in full

    Examples:
      | form                    | kind   |
      | events                  | stream |
      | comments                | stream |
      | a body in small chunks  | whole  |
      | a body in chunks        | whole  |

  # Guards against calls that a byte a second keeps open for ever.
  Scenario Outline: A byte a second in <form> keeps no call open (<kind>)
    Given 2 targets that send a byte a second in <form>
    When 8 clients send <kind> requests to them, and others to sound targets
    Then the targets' calls have ended within the routes' timeout
    And all requests of others are answered in full

    Examples:
      | form                    | kind   |
      | headers                 | whole  |
      | headers                 | once   |
      | headers                 | stream |
      | a refusal               | stream |
      | a body in chunks        | whole  |
      | a body without a length | once   |
      | one event               | stream |

  # Guards against outputs of items that are kept although they have no end.
  Scenario Outline: A daemon bears items whose output has no end, in <form>
    Given 6 targets that send without end in <form>
    When a job of 100 items is sent to them, and others' requests to sound targets
    Then the daemon has used less memory than its VM has
    And all requests of others are answered in full

    Examples:
      | form                   |
      | events                 |
      | small events           |
      | comments               |
      | a body in small chunks |

  # Guards against answers of the store that are kept although they have no end.
  Scenario: A daemon bears a store that answers without end
    Given a store that answers without end from now on
    When 20 jobs are submitted to each daemon meanwhile
    And others send requests to sound targets for 6 s
    Then the store has sent more than 50 MB
    And the daemon has used less memory than its VM has
    And all requests of others are answered in full

  # Guards against bodies of clients that use up the memory before any is whole.
  Scenario Outline: A daemon bears bodies of clients without end, in <pieces>
    Given a limit of 4 MB for bodies
    When 60 clients send bodies of <size> KB without their end, in <pieces>
    Then the daemon has used less memory than its VM has
    And all requests of others are answered in full

    Examples:
      | pieces       | size |
      | large chunks | 3900 |
      | small chunks | 2000 |

  # Guards against bounds that cut what is sound.
  Scenario: Large whole responses are passed on in full
    Given sound targets whose whole responses have 8 MB
    When 8 clients request one each
    Then each receives it in full
    And the daemon has used less memory than its VM has
