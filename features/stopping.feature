Feature: Planned stops abort no request and leaving targets get no new work

  Scenario: Twenty rolling restarts of nine daemons under load
    Guards against a planned stop that aborts streams, connections or queued requests.
    Given a fleet of 9 daemons and 4 engines behind a balancer
    When online requests run while 20 daemons are stopped and started one after another
    Then every online request is answered completely
    And every stopped daemon has ended with status 0

  Scenario: A target that the platform lists as leaving gets no new work after 3 seconds
    Guards against a VM list that is read too late or cached too long.
    Given a fleet of 3 daemons and 3 engines behind a balancer
    When "engine-0" is listed as leaving while online requests run for 10 seconds
    Then "engine-0" starts no request later than 3 seconds after the listing
    And every online request is answered completely

  Scenario: A leaving target completes its running requests
    Guards against aborting requests of a target that is leaving.
    Given a fleet of 1 daemon and 2 engines behind a balancer
    When a stream of 400 tokens runs while its engine is listed as leaving
    Then the stream is answered completely by that engine alone
