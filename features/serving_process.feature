Feature: Daemons as processes before a store and targets

  # The whole path: configuration and targets from the store, online and batch.
  Scenario: Two daemons serve a stream and a job from what the store holds
    Given a store, 2 targets and 2 daemons
    When a client asks the first daemon for a stream
    Then the client has all events and the end
    When a job of 6 items is handed to the first daemon
    Then it is accepted
    And the second daemon lists 6 completed results within 8 s
    And each daemon lists the same results at the same positions
    And the body of an item is the one that was handed in
    And a second submission of the job is accepted and runs nothing more

  # Guards against jobs that are lost with the daemon that accepted them.
  Scenario: A daemon that dies with items in flight loses none
    Given a store, 2 targets and 2 daemons
    And targets that make 40 events of an item, one each 120 ms
    When a job of 6 items is handed to the first daemon
    And the first daemon is killed after 4.5 s
    Then the second daemon lists 6 completed results within 20 s
    And no item stands twice in the list
    And the second daemon went on behind events that the first one had stored

  # Guards against items that run on after their job was ended.
  Scenario: A job that is ended stops at every target
    Given a store, 2 targets and 2 daemons
    And targets that take 400 ms for each of 30 events
    When a job of 6 items is handed to the first daemon
    And the second daemon is asked to end it
    Then within 3 s no target works on an item
    And it stays ended when it is ended again

  # Guards against items that no target can do and that are tried for ever.
  Scenario Outline: An item that can't be done is listed as failed
    Given a store, 2 targets and 2 daemons
    And targets that answer items with <status>
    When a job of 2 items is handed to the first daemon
    Then the second daemon lists 2 failed results within 10 s
    And each item has reached the targets <runs> times

    Examples:
      | status | runs |
      | 422    | 1    |
      | 500    | 3    |

  # Guards against acceptance without a store, and against a refusal that is not true.
  Scenario: A job is refused while the platform's store is down and accepted after it
    Given a store, 2 targets and 2 daemons
    When the platform's store is down
    And a job of 2 items with 1000 ms to wait is handed to the first daemon
    Then it is refused as not run
    When the platform's store is back
    And the same job is handed to the second daemon
    Then it is accepted
    And the first daemon lists 2 completed results within 8 s

  # Guards against an outage of online serving with the store.
  Scenario: Online requests are served while the platform's store is down
    Given a store, 2 targets and 2 daemons
    When the platform's store is down
    And 1.5 s have gone by
    And a client asks the first daemon for a stream
    Then the client has all events and the end

  # Guards against a configuration or a leaving target that a daemon does not hear of
  # because the store turns it away.
  Scenario: A daemon that the store turns away follows it through another one
    Given a store, 2 targets and 2 daemons
    When the store turns the first daemon away
    And the operator adds a route
    Then the first daemon serves the route within 2500 ms

  Scenario: A configuration is in force at every daemon within the bound
    Given a store, 2 targets and 2 daemons
    When the operator adds a route
    Then the first daemon serves the route within 2500 ms
    And the second daemon serves the route within 2500 ms

  # Guards against cut requests at a planned stop.
  Scenario: A daemon that is asked to stop finishes what it has begun
    Given a store, 2 targets and 2 daemons
    And targets that take 350 ms for each of 10 events
    And routes that give requests 6 s
    When a client asks the first daemon for a stream and the daemon is asked to stop
    Then the daemon is not ready any more at once
    And the client has all events and the end
    And the daemon has ended with status 0 within 8 s
    And its log has no traceback

  # Guards against requests that are taken late in a stop, while the jobs wait for the
  # store, and are cut at its end (hunt finding, LOST on mmw-serve).
  Scenario: A daemon that stops while the store is silent takes nothing late
    Given a store, 2 targets and 2 daemons
    And targets that take 400 ms for an event
    When a job of 6 items is handed to the first daemon
    And the platform's store falls silent and the first daemon is asked to stop
    Then 3.2 s later it takes no connection
    And the daemon has ended with status 0 within 8 s

  # Guards against requests cut or settings lost at a reload.
  Scenario: A settings file that is wrong is refused and the former one stays
    Given a store, 2 targets and 2 daemons
    When the first daemon's settings file becomes invalid and it gets SIGHUP
    Then its log names the file, the key and the reason
    And a client asks the first daemon for a stream
    And the client has all events and the end

  Scenario: Settings are checked on demand
    When a settings file without a store is checked
    Then the check fails with status 3 and names "store"
