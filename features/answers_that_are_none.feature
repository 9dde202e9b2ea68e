Feature: Bytes of a target that are no answer reach no client as one

  # Guards against half a body that looks whole: without a length or chunks its end is
  # only the connection's, which a target that ends during an upload closes too.
  Scenario Outline: Part of a body in <framing> during an upload, then <end>, is no answer
    Given targets whose first answer is a 200 with part of a body in <framing>, then <end>
    When clients send uploads of 3 MB of each kind, with 1 and 2 attempts allowed
    Then each that has attempts left is answered in full by the other target
    And all others fail, or end with their connection

    Examples:
      | framing   | end     |
      | no length | a reset |
      | no length | its end |
      | chunks    | a reset |
      | chunks    | its end |
      | a length  | a reset |
      | a length  | its end |

  # The same behind answers that announce another one.
  Scenario Outline: Part of a body in <framing> behind interim answers is no answer
    Given targets whose first answer is interim, then a 200 with part of a body in <framing>, then <end>
    When clients send uploads of 3 MB of each kind, with 1 and 2 attempts allowed
    Then each that has attempts left is answered in full by the other target
    And all others fail, or end with their connection

    Examples:
      | framing   | end     |
      | no length | a reset |
      | no length | its end |
      | chunks    | a reset |

  # Guards against the proper end of a response whose first part was passed on.
  Scenario: A large body without a length that is cut during an upload stays incomplete
    Given targets whose answers are 2 MB without a length, then a reset
    When clients send uploads of 3 MB of kind once, with 1 attempt allowed
    Then all others fail, or end with their connection

  # Guards against answers that are lost, or waited for until the request's end, because
  # their targets read no more of an upload that is larger than the kernel's buffers.
  Scenario Outline: A whole answer in <framing> to an upload that is not read, then <end>
    Given targets whose first answer is a 200 with a whole body in <framing>, then <end>
    When clients send uploads of 12 MB of each kind, with 1 and 2 attempts allowed
    Then each is answered in full within 2.5 s

    Examples:
      | framing  | end     |
      | chunks   | silence |
      | a length | silence |
      | a length | a reset |

  # Guards against a request that is reported as one that may have run although its
  # target has refused it before its end, and against one that is not tried elsewhere.
  Scenario Outline: A refusal during an upload, then <end>, lets another target answer
    Given targets whose first answer is a refusal, then <end>
    When clients send uploads of 12 MB of each kind, with 1 and 2 attempts allowed
    Then each is answered in full within 2.5 s
    And each has run once

    Examples:
      | end     |
      | silence |
      | a reset |
      | reading |

  # Guards against a refusal whose request has run, or a failure whose request has not.
  Scenario Outline: Refusals of all targets during an upload, then <end>, are passed on
    Given targets whose answers are refusals, then <end>
    When clients send uploads of 12 MB of each online kind, with 1 and 2 attempts allowed
    Then each is refused with 503, and none has run

    Examples:
      | end     |
      | silence |
      | a reset |

  # Guards against a status that is none, or that is outside 100 to 599.
  Scenario Outline: The status "<status>" reaches no client
    Given targets whose first answer has the status line "<status> X"
    When clients send requests of each kind, with 1 and 2 attempts allowed
    Then each that has attempts left is answered in full by the other target
    And all others fail, or end with their connection

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |
      | 2000   |
      | +200   |
      | -20    |
      | 20     |
      | 2 0    |

  # A space before the status; also guards against an interim status as a final one.
  Scenario Outline: A first line with <line> reaches no client
    Given targets whose first answer has <line>
    When clients send requests of each kind, with 1 and 2 attempts allowed
    Then each that has attempts left is answered in full by the other target
    And all others fail, or end with their connection

    Examples:
      | line                  |
      | two spaces            |
      | 199 as its last one   |
      | 100 as its last one   |

  # Guards against a body that a client takes for the next answer on its connection.
  Scenario Outline: A body behind the status <status> is not passed on
    Given targets whose first answer has the status line "<status> X"
    When clients send requests of kind once, with 1 attempt allowed
    Then each has the status <status> and no body

    Examples:
      | status |
      | 204    |
      | 304    |

  # Guards against a fault that is taken for a kept connection that had been closed.
  Scenario: The status 600 on a kept connection counts as a fault of its target
    Given a target that answers its second request on a connection with the status 600
    When a client sends two requests one after the other
    Then the second one fails, and the daemon counts one fault of its target

  # Guards against what the event loop and the connections of the daemon's own process
  # add to the cases above.
  Scenario Outline: No answer of a daemon's process is made of <form>
    Given a store, 1 targets and 1 daemons
    And a target that answers uploads with <form>
    When clients send uploads of 3 MB of each kind to the daemon
    Then none has a whole answer, and none is told that it has not run
    And the daemon still answers an ordinary request

    Examples:
      | form                             |
      | part of a 200 without a length   |
      | an ended 200 without a length    |
      | part of a 200 in chunks          |
      | the status 600                   |
      | the status 099                   |

  # The same for a refusal, which lets the sound target answer.
  Scenario: A daemon's process tries an upload elsewhere that is refused before its end
    Given a store, 1 targets and 1 daemons
    And a target that answers uploads with refusals, beside a sound one
    When clients send uploads of 3 MB of each kind to the daemon
    Then each has a whole answer

  # Guards against a write that counts as done although the store has not received it.
  Scenario: A store's success before it has the whole object is none
    Given a store that answers an object with 200 before it has read it
    When an object of 12 MB is stored
    Then the call fails as uncertain
