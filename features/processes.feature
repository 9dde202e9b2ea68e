Feature: Processes of tests and measurements are always stopped

  A leaked process keeps its ports and loads the machine, which makes unrelated later
  runs fail.

  Scenario: A paused process is stopped
    Guards against a process that cannot handle SIGTERM because it is paused.
    Given a stand-in service and a second one that is paused
    When all processes are closed
    Then no process is left
    And the folder is removed

  Scenario: A process that ignores SIGTERM is killed
    Guards against a daemon that hangs in its graceful shutdown.
    Given a process that ignores SIGTERM
    When all processes are closed
    Then no process is left

  Scenario: A process that exits before it is ready is reported at once
    Guards against waiting for the full timeout, and against losing the reason.
    Given a process that exits immediately
    When its ready line is awaited for up to 30 seconds
    Then the wait ends within 10 seconds with the status 3 and the log

  Scenario: A ready line of an earlier run does not count
    Guards against a restarted process that is used before it listens.
    Given a stand-in service
    When the service is killed and immediately restarted
    Then the ready line is awaited until the service answers

  Scenario: Two test runs never reserve the same port
    Guards against parallel runs that use the same port, found free by both.
    Given 300 ports that another process has reserved
    When 300 ports are reserved here
    Then no port is reserved twice
    And no port is in the ephemeral range

  Scenario: Daemon processes of two test runs never use the same port
    Guards against daemons of parallel tests or soaks, or outgoing connections, that take
    the port of a daemon before it listens or while it starts again.
    Given 300 ports that another process has reserved
    When 300 ports are chosen for daemon processes here
    Then no port is reserved twice
    And no port is in the ephemeral range
