Feature: Uploads reach their handler while they arrive

  Scenario: The handler of an upload runs before the upload has ended
    # Guards against bodies that wait in memory or in a temporary file; VMs have no disks.
    Given an HTTP server whose upload handler waits
    When a caller sends half of an upload of 8 MiB
    Then the handler has begun
    And the server has taken at most 1 MiB while the handler waits
    When the handler goes on and the caller sends the rest
    Then the answer tells the digest of the upload
    And the next request on the same connection is answered
    And no temporary file was opened

  Scenario: An upload that is refused early is answered and its connection closed
    # Guards against a refused caller that sees a reset instead of the reason.
    Given an HTTP server whose upload handler refuses at once
    When a caller sends a whole upload of 8 MiB
    Then the caller reads status 413 and the end of the connection

  Scenario: A caller that leaves in the middle frees the worker
    # Guards against worker threads that wait for an upload that never comes.
    Given an HTTP server whose upload handler waits
    When a caller sends half of an upload of 8 MiB
    And the caller leaves and the handler goes on
    Then the handler ends with an error within 5 s

  Scenario: A small upload in one piece is answered
    # Guards against a request that is run twice when its body comes with its headers.
    Given an HTTP server whose upload handler reads
    When a caller sends an upload of 100 bytes in one piece
    Then the answer tells the digest of the upload
    And the handler has run once

  Scenario: A slow reader of results does not fill memory or a temporary file
    # Guards against result files that wait in the daemon for a caller that reads slowly.
    Given an HTTP server whose upload handler reads
    When a caller asks for 8 MiB of results and reads nothing for 1 s
    Then the server holds at most 1 MiB of the answer
    And the caller can read the whole answer
    And no temporary file was opened
