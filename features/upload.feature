Feature: Upload bodies are streamed to their handler

  Scenario: The handler of an upload runs before the upload has ended
    # Guards against bodies that are buffered in memory or in a temporary file; VMs have
    # no disks.
    Given an HTTP server whose upload handler waits
    When half of an upload of 8 MiB is sent
    Then the handler has started
    And the server buffers at most 1 MiB while the handler waits
    When the handler continues and the client sends the rest
    Then the response has the digest of the upload
    And the next request on the same connection gets a response
    And no temporary file was opened

  Scenario: An upload that is rejected early gets a response and a closed connection
    # Guards against a client that sees a connection reset instead of the response.
    Given an HTTP server whose upload handler refuses at once
    When a whole upload of 8 MiB is sent
    Then the client reads status 413 and the end of the connection

  Scenario: A client that disconnects during its upload frees the worker
    # Guards against worker threads that wait forever for the rest of an upload.
    Given an HTTP server whose upload handler waits
    When half of an upload of 8 MiB is sent
    And the client disconnects and the handler continues
    Then the handler ends with an error within 5 s

  Scenario: A small upload in one write is handled once
    # Guards against a request that runs twice when its body arrives with its headers.
    Given an HTTP server whose upload handler reads
    When an upload of 100 bytes is sent in one write
    Then the response has the digest of the upload
    And the handler has run once

  Scenario: A slow reader of results does not fill memory or a temporary file
    # Guards against buffering result files in the daemon for a client that reads slowly.
    Given an HTTP server whose upload handler reads
    When a client requests 8 MiB of results and reads nothing for 1 s
    Then the server buffers at most 1 MiB of the response
    And the client can read the whole response
    And no temporary file was opened
