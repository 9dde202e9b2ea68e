Feature: Daemon processes with a store and targets

  # End to end: configuration and targets from the store, online and batch.
  Scenario: Two daemons serve a stream and a job from what the store holds
    Given a store, 2 targets and 2 daemons
    When a client requests a stream from the first daemon
    Then the client has received the complete stream
    When a job of 6 items is submitted to the first daemon
    Then it is accepted
    And the second daemon lists 6 completed results within 8 s
    And each daemon lists the same results at the same positions
    And the body of an item is the submitted one
    And a second submission of the job is accepted and runs nothing again

  # Guards against losing a job together with the daemon that accepted it.
  Scenario: A daemon that dies with items in flight loses none
    Given a store, 2 targets and 2 daemons
    And targets that send 40 events per item, one every 120 ms
    When a job of 6 items is submitted to the first daemon
    And the first daemon is killed after 4.5 s
    Then the second daemon lists 6 completed results within 20 s
    And no item is listed twice
    And the second daemon resumed after events that the first one had stored

  # Guards against items that keep running after their job was ended.
  Scenario: A job that is ended stops on every target
    Given a store, 2 targets and 2 daemons
    And targets that take 400 ms for each of 30 events
    When a job of 6 items is submitted to the first daemon
    And the second daemon is asked to end it
    Then within 3 s no target runs an item
    And it stays ended when it is ended again

  # Guards against endless retries of items that fail on every target.
  Scenario Outline: An item that cannot succeed is listed as failed
    Given a store, 2 targets and 2 daemons
    And targets that answer items with <status>
    When a job of 2 items is submitted to the first daemon
    Then the second daemon lists 2 failed results within 10 s
    And each item has been sent to targets <runs> times

    Examples:
      | status | runs |
      | 422    | 1    |
      | 500    | 3    |

  # Guards against accepting a job without the store, and against refusing one as not
  # run that does run.
  Scenario: A job is refused while the platform's store is down and accepted afterwards
    Given a store, 2 targets and 2 daemons
    When the platform's store is down
    And a job of 2 items with a deadline of 1000 ms is submitted to the first daemon
    Then it is refused as not run
    When the platform's store is up again
    And the same job is submitted to the second daemon
    Then it is accepted
    And the first daemon lists 2 completed results within 8 s

  # Guards against an outage of online serving with the store.
  Scenario: Online requests are served while the platform's store is down
    Given a store, 2 targets and 2 daemons
    When the platform's store is down
    And the client waits 1.5 s
    And a client requests a stream from the first daemon
    Then the client has received the complete stream

  # Guards against a daemon that misses a new configuration or a draining target because
  # it cannot reach the store.
  Scenario: A daemon that cannot reach the store follows it through another one
    Given a store, 2 targets and 2 daemons
    When the first daemon cannot reach the store
    And the operator adds a route
    Then the first daemon serves the route within 2500 ms

  Scenario: A new configuration takes effect at every daemon within the time limit
    Given a store, 2 targets and 2 daemons
    When the operator adds a route
    Then the first daemon serves the route within 2500 ms
    And the second daemon serves the route within 2500 ms

  # Guards against requests cut by a graceful shutdown.
  Scenario: A daemon that gets SIGTERM completes the requests in flight
    Given a store, 2 targets and 2 daemons
    And targets that take 350 ms for each of 10 events
    And routes with a timeout of 6 s
    When a client requests a stream from the first daemon, which then gets SIGTERM
    Then the daemon fails its readiness check at once
    And the client has received the complete stream
    And the daemon exits with status 0 within 8 s
    And its log has no traceback

  # Guards against lost requests: the release of the jobs waits for the store, and
  # requests that are accepted late in the shutdown meanwhile are cut at its end.
  Scenario: A daemon that stops while the store does not answer accepts nothing late
    Given a store, 2 targets and 2 daemons
    And targets that take 400 ms per event
    When a job of 6 items is submitted to the first daemon
    And the platform's store stops answering and the first daemon gets SIGTERM
    Then 3.2 s later it accepts no connection
    And the daemon exits with status 0 within 8 s

  # Guards against requests that a daemon has read and that its planned stop ends without
  # an answer: those that wait for a slot have not run, those at a target may have.
  Scenario: Requests that a stop cannot wait for are answered
    Given a store, 1 targets and 1 daemons
    And targets that send whole responses after 20 s
    And routes whose requests may run once
    And routes with a timeout of 25 s
    And the first daemon has a grace of 4.5 s
    When 14 clients request a response and the first daemon gets SIGTERM
    Then the daemon exits with status 0 within 4.5 s
    And each client whose request was sent to a target gets status 502
    And the other clients are told that their request has not run

  # Guards against requests cut or settings lost by a reload.
  Scenario: An invalid settings file is rejected and the previous settings stay
    Given a store, 2 targets and 2 daemons
    When the first daemon's settings file becomes invalid and it gets SIGHUP
    Then its log names the file, the key and the reason
    And a client requests a stream from the first daemon
    And the client has received the complete stream

  # Guards against a signal that ends a daemon because it has not installed its handler.
  Scenario: A daemon that gets SIGHUP while it starts goes on
    Given a store, 2 targets and 1 daemons
    When the first daemon is killed and starts again, and gets SIGHUP 20 times meanwhile
    And a client requests a stream from the first daemon
    Then the client has received the complete stream

  Scenario: Settings are checked on demand
    When a settings file without a store is checked
    Then the check fails with status 3 and names "store"
