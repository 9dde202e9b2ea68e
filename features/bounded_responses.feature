Feature: Responses at the other entry point are bounded in size and duration

  # Guards against a flood that fills the memory, and against a size that is allocated
  # because the head announces it.
  Scenario Outline: A response that is too large through <form> is given up
    Given a server that answers with <form>
    When a call with responses of at most 1 MB is made, <how>
    Then it fails since the response is too large

    Examples:
      | form                       | how           |
      | a body without a length    | as a request  |
      | a body with a length       | as a request  |
      | a body in chunks           | as a request  |
      | a chunk of absurd size     | as a request  |
      | trailers                   | as a request  |
      | a body in chunks           | as an item    |
      | interim answers            | as an item    |

  # Guards against a byte a second that holds one of the threads of items for ever.
  Scenario Outline: A response that trickles in <form> is given up after its time
    Given a server that sends single bytes in <form>
    When a call with responses of at most 0.5 s is made, <how>
    Then it fails as one that timed out, within 2 s

    Examples:
      | form                    | how           |
      | headers                 | as a request  |
      | a body in chunks        | as an item    |
      | a body without a length | as an item    |

  # Guards against a response that looks whole although its target cut it, and against
  # statuses that are none.
  Scenario Outline: A response with <fault> is none
    Given a server that answers with <fault>
    When a call with responses of at most 1 MB is made, as a request
    Then it fails as a broken response

    Examples:
      | fault                     |
      | a body that is cut        |
      | a chunk that is cut       |
      | the status 600            |

  # Guards against half a body that looks whole because its server ended during an upload.
  Scenario: A body without a length is none if the server has not read the request
    Given a server that ends its side without reading, with half a body
    When an upload of 1 MB is sent to it
    Then it fails as a broken response

  # Guards against bounds that sound responses reach.
  Scenario Outline: A sound response in <form> is read whole, and its connection kept
    Given a server that answers with <form>
    When two calls with responses of at most 1 MB are made
    Then both have a body of 500000 bytes, on 1 connection

    Examples:
      | form            |
      | a sound length  |
      | sound chunks    |
