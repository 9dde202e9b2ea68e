Feature: Processes of tests and measurements are always ended

  A process that is left behind keeps its ports and its load, and makes later runs fail
  for no reason of their own.

  Scenario: A paused process is ended
    Guards against a process that can't act on SIGTERM because it is stopped.
    Given a stand-in service and a second one that is paused
    When all processes are closed
    Then no process is left
    And the folder is removed

  Scenario: A process that ignores SIGTERM is ended
    Guards against a daemon that hangs in its planned stop.
    Given a process that ignores SIGTERM
    When all processes are closed
    Then no process is left

  Scenario: A process that ends before it is ready is reported at once
    Guards against waiting for the whole time limit, and against a lost reason.
    Given a process that ends at once
    When its ready line is awaited for up to 30 seconds
    Then the wait ends within 10 seconds with the status 3 and the log

  Scenario: A ready line of an earlier run does not count
    Guards against a restarted process that is used before it listens.
    Given a stand-in service
    When the service is killed and started again without any wait
    Then the ready line is awaited until the service answers

  Scenario: Two test runs never reserve the same port
    Guards against parallel runs that take each other's port between test and use.
    Given 300 ports that another process has reserved
    When 300 ports are reserved here
    Then no port is reserved twice
    And no port is in the range for outgoing connections
