Feature: Stand-ins for external systems

  Other scenarios rely on the records of the stand-ins and the faults that they inject.
  A stand-in that loses a write, or counts one twice, would hide real faults.

  Scenario: A write whose response is lost takes effect
    Guards against a fault switch that drops the write together with its response.
    Given a stand-in platform
    When the platform loses the next response
    And a client inserts the row "jobs/j1" as operation "op-1"
    Then the outcome of the write is unknown to the client
    And the row "jobs/j1" was written by operation "op-1"
    And the record shows 1 write of the table "jobs"

  Scenario: Only responses for the named table are lost
    Guards against a fault that affects another write than the one under test.
    Given a stand-in platform
    When the platform loses the next response for the table "jobs"
    And a client inserts the row "chunks/c1" as operation "op-1"
    Then the client sees that the write succeeded
    When a client inserts the row "jobs/j1" as operation "op-2"
    Then the outcome of the write is unknown to the client

  Scenario: A conflict reports the actual row and nothing is applied
    Guards against a transaction that applies some of its writes.
    Given a stand-in platform
    When a client inserts the row "jobs/j1" as operation "op-1"
    And a client inserts the rows "jobs/j0" and "jobs/j1" as operation "op-2"
    Then the client gets a conflict on "jobs/j1" with the row of operation "op-1"
    And the row "jobs/j0" is absent
    And the record shows 1 write of the table "jobs"

  Scenario: Writes above the rate limit are refused without effect
    Guards against a store without limits, with which any design would pass.
    Given a stand-in platform that allows 5 row writes a second
    When a client inserts 20 rows of the table "open" at once
    Then at least 5 are written, within the rate limit
    And the others are refused with a retry delay of at most 1 second
    And the record shows as many writes of the table "open" as succeeded

  Scenario: Scans return rows in key order, with quoted keys
    Guards against keys that are cut at a slash and rows that are missing from a page.
    Given a stand-in platform
    When a client inserts the rows "chunks/j2/000001" and "chunks/j1/000002" as operation "op-1"
    And a client inserts the rows "chunks/j1/000001" and "chunks/j11/000001" as operation "op-2"
    Then pages of 1 row of "chunks" with the prefix "j1/" are "j1/000001, j1/000002"

  Scenario: A platform that is down refuses connections and breaks open ones
    Guards against an outage that does not affect persistent connections.
    Given a stand-in platform
    And a client with an open connection to the platform
    When the platform goes down
    Then the open connection breaks
    And the client sees that the store is unavailable
    When the platform comes back up
    And a client inserts the row "jobs/j1" as operation "op-1"
    Then the client sees that the write succeeded

  Scenario: The list of VMs lags
    Guards against a list that is always up to date.
    Given a stand-in platform whose list of VMs lags 0.5 seconds
    When the VM "vm-1" is listed as "leaving"
    Then the list of VMs is still empty
    And within 3 seconds the list shows "vm-1" as "leaving"

  Scenario: An object is created only once
    Guards against a second writer that replaces a result.
    Given a stand-in platform
    When a client creates the object "results/j/0/1" with "first"
    And a client creates the object "results/j/0/1" with "second"
    Then the second creation is refused
    And the object "results/j/0/1" is "first"
    And bytes 1 to 3 of the object "results/j/0/1" are "irs"

  Scenario: The response of an engine is predictable
    Guards against corrupted or truncated responses that a test could not detect.
    Given a stand-in engine with 4 slots
    When a caller asks for 20 tokens streamed and unstreamed
    Then both responses are the expected text of 20 tokens
    And the usage counts 20 tokens

  Scenario: A resumed stream continues exactly after its offset
    Guards against an engine that repeats or skips tokens when a stream is resumed.
    Given a stand-in engine with 4 slots
    When a caller reads 5 events of a stream of 40 tokens and its connection breaks
    And the caller resumes the stream after offset 4
    Then the next event has offset 5
    And both parts together are the expected text of 40 tokens
    And the record has 1 run, which is "finished"

  Scenario: A stream that is not resumed is cancelled
    Guards against runs that keep their slot after the caller has disconnected.
    Given a stand-in engine that keeps broken streams 0.3 seconds
    When a caller reads 5 events of a stream of 2000 tokens and its connection breaks
    Then within 5 seconds the record has 1 run, which is "cancelled"
    And resuming the stream after offset 4 is refused with status 404

  Scenario: A cancelled run frees its slot
    Guards against a cancellation that does not start the queued request.
    Given a stand-in engine with 1 slot
    When a caller opens the stream "first" of 5000 tokens
    And a caller opens the stream "second" of 3 tokens
    Then the second stream waits
    When the stream "first" is cancelled
    Then the stream "second" ends with the expected text
    And the run "first" is "cancelled" with fewer than 5000 tokens

  Scenario: An unstreamed request is cancelled when its connection breaks
    Guards against batch items that keep their slot after they were preempted.
    Given a stand-in engine with 1 slot
    When a caller sends an unstreamed request for 5000 tokens and breaks the connection
    Then within 5 seconds the record has 1 run, which is "cancelled"

  Scenario: Open streams stall while new connections work
    Guards against a fault that breaks the connection, which any client would notice.
    Given a stand-in engine with 4 slots
    When a caller reads 2 events of a stream of 300 tokens
    And open streams stall after 0 more tokens
    Then the open stream sends nothing for 0.5 seconds and stays open
    And a new stream of 10 tokens is complete

  Scenario: A stream breaks once after a number of tokens
    Guards against a fault that also breaks the resumed connection.
    Given a stand-in engine with 4 slots
    When the engine breaks the next stream after 7 tokens
    And a caller reads a stream of 30 tokens until it breaks
    Then the caller has 7 events
    When the caller resumes the stream after offset 6
    Then both parts together are the expected text of 30 tokens

  Scenario: A poison prompt crashes the engine
    Guards against a crash that leaves the process alive.
    Given a stand-in engine with 4 slots
    When the engine crashes on "poison pill"
    And a caller sends the prompt "one poison pill please"
    Then the engine's process has ended

  Scenario: A restarted engine crashes on a poison prompt before its faults can be set
    Guards against an item that crashes engines and completes on a restarted one.
    Given a stand-in engine with 4 slots
    When the engine is restarted after each crash on "poison pill"
    And a caller sends the prompt "one poison pill please"
    And the engine runs again, with its faults not set yet
    And a caller sends the prompt "one poison pill please"
    Then the caller has no response

  Scenario Outline: A stale fencing token is <verdict>
    Guards against a stand-in that always checks tokens, which would hide orders that
    are not fenced.
    Given a stand-in engine that <checks> fencing numbers
    When the order "load_model" for "extra-lm" with fencing token 7 is sent
    And the order "unload_model" for "extra-lm" with fencing token 3 is sent
    Then the last order is answered with status <status>
    And the engine finally has the models "<models>"

    Examples:
      | verdict | checks  | status | models             |
      | refused | checks  | 409    | extra-lm, small-lm |
      | ignored | ignores | 202    | small-lm           |

  Scenario: A request that the engine refuses does not run
    Guards against a refusal that is counted as a run.
    Given a stand-in engine with 4 slots
    When the engine rejects 1 request
    And a caller sends the prompt "refused"
    Then the response has status 503 and the run state "not-run"
    And the record has no run
    When a caller asks for the model "unknown-lm"
    Then the response has status 404 and the error code "model_not_found"

  Scenario: Cached prefixes shorten the prefill and are reported late
    Guards against cache events that are reported at once, and a cache without effect.
    Given a stand-in engine with a slow prefill
    When the same long prompt is sent twice
    Then the second run found all full blocks cached
    And the cache events appear only after the first response

  Scenario: A plain service records a call whose response was lost
    Guards against a lost response that hides a second execution.
    Given a stand-in service
    When the service loses the next response
    And a caller posts "/orders/1" with the key "k-1" and gets no response
    And a caller posts "/orders/1" with the key "k-1"
    Then the record has 2 calls with the key "k-1"

  Scenario: The balancer skips a daemon that is not ready
    Guards against a balancer that breaks the connections of a draining daemon.
    Given a balancer in front of 2 stand-in services
    When a slow call goes through the balancer to each service
    And the service 0 reports that it is not ready
    Then new calls go to the service 1 only
    And both slow calls succeed

  Scenario: A silent link forwards nothing and resumes afterwards
    Guards against a partition that breaks connections, which every client would notice.
    Given a stand-in platform behind a link
    And a client with an open connection through the link
    When the link goes silent
    Then the open connection gets no answer within 0.5 seconds
    When the link passes bytes again
    Then the open connection gets its answer
    And the link's record counts the bytes of both directions

  Scenario: Connections that were open stay silent while new ones work
    Guards against clients that wait on a dead connection while the store is healthy.
    Given a stand-in platform behind a link
    And a client with an open connection through the link
    When the connections that are open now go silent
    Then the open connection gets no answer within 0.5 seconds
    And a new connection through the link is answered

  Scenario: A link has a latency and a rate limit
    Guards against a link between regions without any cost.
    Given a stand-in platform behind a link of 20 milliseconds and 4 Mbit/s
    Then a call through the link takes at least 40 milliseconds
    And an object of 100000 bytes takes at least 200 milliseconds

  Scenario: A link that is down refuses and breaks connections
    Guards against an outage that open connections survive.
    Given a stand-in platform behind a link
    And a client with an open connection through the link
    When the link goes down
    Then the open connection breaks
    And a new connection through the link is refused
