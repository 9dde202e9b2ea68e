Feature: Invalid requests get a clear error and do not affect the daemon

  Background:
    Given 1 engine that makes a token every 5 ms, behind the front end

  Scenario Outline: A malformed body is refused before it is run
    When the body <body> is posted
    Then the answer has status <status> and code "<code>"
    And the answer says "not-run" and has an error in JSON
    And the daemon still answers

    Examples:
      | body                    | status | code            |
      | broken JSON             | 400    | invalid_request |
      | empty                   | 400    | invalid_request |
      | bad UTF-8               | 400    | invalid_request |
      | a JSON list             | 400    | invalid_request |
      | NUL bytes               | 400    | invalid_request |
      | deeply nested           | 400    | invalid_request |
      | lone surrogate          | 400    | invalid_request |
      | without model           | 400    | invalid_request |
      | model is a number       | 400    | invalid_request |
      | without messages        | 400    | invalid_request |
      | no messages in the list | 400    | invalid_request |
      | messages is a string    | 400    | invalid_request |
      | a message is a string   | 400    | invalid_request |
      | a message without role  | 400    | invalid_request |
      | content is a number     | 400    | invalid_request |
      | stream is a string      | 400    | invalid_request |
      | temperature is a string | 400    | invalid_request |
      | temperature too high    | 400    | invalid_request |
      | max_tokens is negative  | 400    | invalid_request |
      | unknown model           | 404    | model_not_found |
      | unknown adapter         | 404    | model_not_found |
      | too large               | 413    | body_too_large  |

  Scenario Outline: A malformed header is refused before the request is run
    When a good body is posted with "<header>" set to "<value>"
    Then the answer has status <status> and code "<code>"
    And the answer says "not-run" and has an error in JSON
    And the daemon still answers

    Examples:
      | header          | value              | status | code              |
      | X-Deadline-Ms   | soon               | 400    | invalid_request   |
      | X-Deadline-Ms   | 1.5                | 400    | invalid_request   |
      | X-Deadline-Ms   | 99999999999999999  | 400    | invalid_request   |
      | X-Deadline-Ms   | 0                  | 504    | deadline_exceeded |
      | X-Deadline-Ms   | -5                 | 504    | deadline_exceeded |
      | X-Priority      | urgent             | 400    | invalid_request   |
      | Idempotency-Key | (empty)            | 400    | invalid_request   |
      | Idempotency-Key | (too long)         | 400    | invalid_request   |
      | Authorization   | Bearer wrong       | 401    | invalid_api_key   |
      | Authorization   | (empty)            | 401    | invalid_api_key   |
      | Authorization   | Bearer other-key   | 404    | model_not_found   |

  # Guards against error responses of the HTTP library that are not in the JSON format.
  Scenario Outline: A request that is not valid HTTP gets an error in the same format
    When the bytes of <request> are sent
    Then the answer has status <status> and code "<code>"
    And the answer says "not-run" and has an error in JSON
    And the daemon still answers

    Examples:
      | request                   | status | code                            |
      | a bad request line        | 400    | invalid_request                 |
      | a lower-case method       | 400    | invalid_request                 |
      | a bad URL                 | 400    | invalid_request                 |
      | a bad header              | 400    | invalid_request                 |
      | a bad Content-Length      | 400    | invalid_request                 |
      | a huge Content-Length     | 400    | invalid_request                 |
      | a bad chunk               | 400    | invalid_request                 |
      | chunks larger than limit  | 413    | body_too_large                  |
      | a body larger than limit  | 413    | body_too_large                  |
      | headers larger than limit | 431    | headers_too_large               |
      | an unknown encoding       | 501    | transfer_encoding_not_supported |
      | an unknown path           | 404    | not_found                       |
      | an unknown method         | 405    | method_not_allowed              |

  # Guards against clients that occupy connections by sending slowly.
  Scenario: A request that never arrives in full times out
    Given requests must arrive within 1 s
    When half a request is sent
    Then the answer has status 408 and code "request_timeout"
    And the answer says "not-run" and has an error in JSON

  Scenario: Idle connections are closed
    Given idle connections are closed after 1 s
    When a connection is opened and nothing is sent
    Then the connection is closed within 5 s
