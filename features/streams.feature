Feature: Online requests get one complete response or an error with a correct run state

  Scenario Outline: The official client gets the complete response
    Given 2 engines that make a token every 5 ms, behind the front end
    When the official client asks "count the crates" for 40 tokens <way>
    Then the client has the engine's complete text
    And the engines have run it once

    Examples:
      | way      |
      | streamed |
      | whole    |

  # Guards against refusals while only some engines have loaded an adapter.
  Scenario: A request for an adapter is run where the adapter is loaded
    Given 2 engines, of which the second has the adapter "small-lm:tuned", behind the front end
    When "adapters" is asked of model "small-lm:tuned" for 5 tokens 4 times
    Then each answer is complete
    And the second engine has run "small-lm:tuned" 4 times

  Scenario: A request for an adapter that is loaded nowhere is refused as retryable
    Given 2 engines that make a token every 5 ms, behind the front end
    When "adapters" is asked of model "small-lm:tuned" for 5 tokens 1 times
    Then the answer has status 503 and says "not-run"
    And the answer has Retry-After

  # Guards against lost or repeated tokens when a connection breaks.
  Scenario Outline: A connection that breaks in the middle is resumed
    Given 2 engines that make a token every 5 ms, behind the front end
    And the next stream of each engine loses its connection after <tokens> tokens
    When the official client asks "broken belt" for 60 tokens <way>
    Then the client has the engine's complete text
    And the engines have run it once

    Examples:
      | tokens | way      |
      | 1      | streamed |
      | 25     | streamed |
      | 25     | whole    |

  # Guards against waiting forever on a connection that a network device has dropped.
  Scenario: A stream that goes silent is resumed on a new connection
    Given 1 engine that makes a token every 10 ms, behind the front end
    And streams time out after 0.5 s
    When a caller streams "silent shed" for 100 tokens
    And the open streams of all engines stall after 10 tokens
    Then the caller has the engine's complete text
    And the engines have run it once

  # Guards against accepted requests that are lost with their engine.
  Scenario: A deterministic response is completed elsewhere when its engine crashes
    Given 2 engines that make a token every 10 ms, behind the front end
    When a caller streams "dead engine" for 100 tokens with temperature 0
    And the engine that runs it is killed after 20 tokens
    Then the caller has the engine's complete text

  Scenario: A response that can't be reproduced ends with an error if its engine crashes
    Given 2 engines that make a token every 10 ms, behind the front end
    When a caller streams "dead engine" for 100 tokens
    And the engine that runs it is killed after 20 tokens
    Then the stream ends with an error that says "may-have-run"
    And the stream has no [DONE] and its framing is incomplete

  Scenario: An unstreamed request is rerun elsewhere when its engine crashes
    Given 2 engines that make a token every 10 ms, behind the front end
    When a caller asks "dead engine" for 100 tokens unstreamed
    And the engine that runs it is killed after 20 tokens
    Then the caller has the engine's complete text

  # Guards against a response composed of two different runs.
  Scenario: A second run that differs ends the answer with an error
    Given scripted engines, each breaking or answering with its own text
    When a caller streams "differs" with temperature 0
    Then the stream ends with an error that says "may-have-run"
    And the stream has no [DONE] and its framing is incomplete
    And the stream has only text of the first engine

  # Guards against engines that keep computing for a disconnected caller.
  Scenario Outline: The engine stops when the caller disconnects
    Given 1 engine that makes a token every 10 ms after <prefill> ms, behind the front end
    When a caller asks "left alone" for 1000 tokens <way> and leaves after <wait> s
    Then the engine's record says cancelled within 2 s
    And no request is open

    Examples:
      | prefill | way        | wait |
      | 5       | streamed   | 0.5  |
      | 5       | unstreamed | 0.5  |
      | 3000    | streamed   | 0.3  |

  # Guards against one caller's full buffers blocking the others.
  Scenario: A caller that does not read does not delay others and is disconnected
    Given a scripted engine with the answer "12 MB at once"
    And callers that read nothing for 1 s are disconnected
    When 3 callers stream and do not read, and one caller reads
    Then the reading caller has the complete answer within 10 s
    And at most 256 KB were buffered for each caller
    And no request is open within 10 s

  # Guards against incomplete responses that look complete.
  Scenario Outline: A truncated or malformed response is never ended as complete
    Given a scripted engine with the answer "<answer>"
    When a caller streams "truncated"
    Then the stream ends with an error that says "may-have-run"
    And the stream has no [DONE] and its framing is incomplete
    And the caller got the tokens "t0 t1 t2"
    When the front end is restarted
    And a caller asks "truncated" unstreamed
    Then the answer has status 502 and says "may-have-run"

    Examples:
      | answer                |
      | end without DONE      |
      | closed in a chunk     |
      | reset                 |
      | an offset is left out |
      | an error event        |
      | lines without data    |
      | bad chunk size        |

  Scenario Outline: Unusual but valid framing is accepted
    Given a scripted engine with the answer "<answer>"
    When a caller streams "framing"
    Then the caller got the tokens "t0 t1 t2 t3 t4"
    And the stream is complete

    Examples:
      | answer                    |
      | one byte at a time        |
      | all in one chunk          |
      | no chunks                 |
      | CRLF lines                |
      | repeated offsets          |
      | comments between events   |
      | an interim response first |
      | no offsets                |

  Scenario Outline: A request that an engine refuses is retried elsewhere
    Given 2 engines that make a token every 5 ms, behind the front end
    And the first engine <fault>
    When the official client asks "refused" for 5 tokens streamed 6 times
    Then each time the client has the engine's complete text

    Examples:
      | fault                      |
      | refuses every request      |
      | is not running             |
      | accepts and never answers  |

  # Guards against a delayed final response and against a false "not-run".
  Scenario: A request that no engine accepts is refused immediately
    Given 2 engines that make a token every 5 ms, behind the front end
    And all engines refuse every request
    When a caller asks "nobody" for 5 tokens unstreamed
    Then the answer has status 503 and says "not-run"
    And the answer has Retry-After
    And the answer came within 2 s

  Scenario Outline: The engine's error for an invalid request reaches the caller
    Given a scripted engine with the answer "<answer>"
    When a caller asks "too long" unstreamed
    Then the answer has status 400 and says "<state>"
    And the answer has an error that mentions "<text>"
    And the scripted engine got 1 request

    Examples:
      | answer                   | state        | text             |
      | status 400               | not-run      | context too long |
      | status 400 after a run   | may-have-run | context too long |
      | status 400 without JSON  | not-run      | status 400       |

  Scenario Outline: The deadline ends a request
    Given 1 engine that makes a token every 20 ms, behind the front end
    When a caller asks "late" for 400 tokens <way> with 600 ms to go
    Then the request ends with code "deadline_exceeded" after 0.6 to 3 s
    And the engine's record says cancelled within 2 s

    Examples:
      | way        |
      | streamed   |
      | unstreamed |

  Scenario: Requests beyond the limit are refused
    Given 1 engine that makes a token every 10 ms, behind the front end
    And at most 3 requests may be open
    When 4 callers stream 150 tokens each
    Then 3 answers are complete and 1 is refused with 429 and "not-run"

  # Guards against shutdowns that interrupt requests.
  Scenario: A graceful shutdown finishes open streams and closes idle connections
    Given 1 engine that makes a token every 10 ms, behind the front end
    And an idle connection that has been used once
    When a caller streams "planned stop" for 150 tokens
    And the graceful shutdown begins after 0.3 s
    Then a new connection is refused
    And a call on the idle connection is answered and the connection is closed
    And the caller has the engine's complete text
    And the graceful shutdown finished everything

  # Guards against an exception for one request that ends the thread of all streams.
  Scenario Outline: An exception in the scheduler ends one request only
    Given 1 engine that makes a token every 5 ms, behind the front end
    And the scheduler raises an exception in "<function>" for the prompt "bad luck"
    When "bad luck" and "good luck" are streamed at the same time
    Then "good luck" is answered in full
    And "bad luck" gets an error that says "may-have-run"

    Examples:
      | function           |
      | submit             |
      | record_first_token |

  # Guards against an exception in a log observer that ends the thread of all streams.
  Scenario: An exception in a log observer does not end the relay
    Given 1 engine that makes a token every 5 ms, behind the front end
    And the next 3 events of the log raise an exception
    When a caller streams "first"
    And a caller streams "second" for 30 tokens
    Then the caller has the engine's complete text

  # Guards against requests with no final log line, or with several.
  Scenario Outline: Each request ends with one log line
    Given 1 engine that makes a token every 10 ms, behind the front end
    And the events of the log are recorded
    When a caller asks "in the log" for <tokens> tokens streamed with <limit> ms to go
    Then the log has one line about the end of the request with
      | field        | value     |
      | organisation | orchard   |
      | model        | small-lm  |
      | target       | engine-0  |
      | attempts     | 1         |
      | outcome      | <outcome> |

    Examples:
      | tokens | limit | outcome   |
      | 20     | 5000  | completed |
      | 400    | 500   | deadline  |

  # Guards against parts of an unstreamed response that are lost or mixed up.
  Scenario: An unstreamed response is merged from all its chunks
    Given a scripted engine with the answer "many kinds of pieces"
    When the official client asks the scripted engine unstreamed
    Then the answer has these parts
      | part                                         | value            |
      | choices.0.message.content                    | red green        |
      | choices.0.message.role                       | assistant        |
      | choices.0.finish_reason                      | stop             |
      | choices.0.logprobs.content.0.token           | red              |
      | choices.0.logprobs.content.1.token           | green            |
      | choices.1.message.content                    | None             |
      | choices.1.finish_reason                      | tool_calls       |
      | choices.1.message.tool_calls.0.id            | call-1           |
      | choices.1.message.tool_calls.0.function.name | sort             |
      | choices.1.message.tool_calls.0.function.arguments | {"lane": 4} |
      | choices.1.message.tool_calls.1.id            | call-2           |
      | choices.1.message.tool_calls.1.function.arguments | {}          |
      | usage.completion_tokens                      | 7                |
      | model                                        | small-lm         |
      | object                                       | chat.completion  |

  Scenario Outline: Each organisation sees the models that it may use
    Given 1 engine that makes a token every 5 ms, behind the front end
    When the owner of the key "<key>" lists the models
    Then the models are "<models>"

    Examples:
      | key        | models                  |
      | caller-key | small-lm small-lm:tuned |
      | other-key  |                         |

  # Guards against cancellations at a lost VM that block all others.
  Scenario: Cancellations at a lost engine do not delay those at others
    Given an engine that accepts no connection and a scripted engine
    When 100 streams are cancelled at the first and one at the second
    Then the second engine is asked to cancel within 3 s

  # Guards against resumes at a lost VM that block new requests.
  Scenario: Resumes at a lost engine do not delay requests at others
    Given an engine that accepts no connection and a scripted engine
    When 100 streams are resumed at the first and one is opened at the second
    Then the second engine gets the request within 0.8 s
    And all 100 resumes have failed within 3 s
