Feature: What follows a stream that broke off is the rest of it, or nothing

  # Guards against text of an error, a head or events of another place in the middle of a
  # client's stream, and against an end that looks whole before the last event.
  Scenario Outline: A broken stream is not continued with <answer>
    Given 3 scripted targets, and a stream that breaks off anywhere
    And the answer to its continuation is <answer>
    When clients request that stream, with 1, 2 and 3 attempts allowed
    Then each has events in order, and an end only behind the last one
    And each with 3 attempts has the whole stream

    Examples: errors and refusals
      | answer                                    |
      | an error with a text                      |
      | a 404                                     |
      | a refusal                                 |
      | a 503 that may have run                   |
      | a 421                                     |

    Examples: successes that are no events
      | answer                                    |
      | a body with a length                      |
      | a body of lines with a length             |
      | an empty body of another type             |
      | an empty stream without framing           |
      | events without a signature                |

    Examples: foreign bytes among events
      | answer                                    |
      | a head within the chunks                  |
      | a head in a chunk                         |
      | a head in a chunk, in one event           |
      | a head between events without framing     |
      | a text between events                     |
      | an error as an event                      |

    Examples: events of another place
      | answer                                    |
      | the last event again                      |
      | events behind a gap                       |
      | events from the first one on              |
      | events without ids                        |
      | events with ids that are no numbers       |
      | a gap at a later place                    |

  # Guards against the same bytes in a stream that no other run may go on.
  Scenario Outline: A stream that may not be resumed breaks off before <answer>
    Given 3 scripted targets, and a stream that may not be resumed
    And the answer to its request is <answer>
    When a client requests that stream
    Then it has the event before the foreign bytes, and no end
    And the request has run 1 times

    Examples:
      | answer                                    |
      | a head within the chunks                  |
      | a head in a chunk                         |
      | a head between events without framing     |
      | a text between events                     |

  # Guards against an item that is completed with foreign text, or with an event that is
  # missing or stands twice.
  Scenario Outline: An item whose run breaks off is not completed with <answer>
    Given 3 scripted targets, and a stream that breaks off anywhere
    And the answer to its continuation is <answer>
    When that item is run until it is completed
    Then each item has the text of its events, once and in order

    Examples:
      | answer                                    |
      | an error with a text                      |
      | a refusal                                 |
      | a body of lines with a length             |
      | an empty body of another type             |
      | a head in a chunk                         |
      | a text between events                     |
      | an error as an event                      |
      | the last event again                      |
      | events behind a gap                       |
      | events from the first one on              |
      | events without ids                        |
      | events with ids that are no numbers       |
      | a gap at a later place                    |

  # Guards against a failure where the stream broke off between its last event and its end.
  Scenario: A stream that breaks off behind its last event ends as whole
    Given 3 scripted targets, and a stream that breaks off behind its last event
    When clients request that stream, with 1, 2 and 3 attempts allowed
    Then each has events in order, and an end only behind the last one
    And each with 3 attempts has the whole stream
