Feature: Two partitioned regions keep their guarantees

  Three daemons are in the region of the store and two in the other one. All connections
  between the regions pass one link of 20 ms and 15 Mbit/s. A cut takes 20 s instead
  of an hour. It must outlast every timer that reacts to it: the session term (3 s
  here instead of 9 s) and the observer's margin, the suspicion timeout (2.5 s), the
  reconnects (3 s), the idle timeout of pooled connections (15 s) and each read
  timeout. A longer cut passes through no other states. Only the session term and the
  timeout of platform calls (1 s instead of 5 s) are scaled.

  Scenario: Online requests, publishing and membership survive a silent link
    Guards against callers that wait for the other region, a revision that reverts or is
    used without confirmation, and healthy daemons that stay marked dead.
    Given two regions with online callers in each
    And long requests of which some spilled into the other region
    When the link between the regions goes silent
    Then a publish ends as not confirmed by "zone-c"
    And a publish that excludes "zone-c" is accepted and in force in the first region
    When a daemon of the second region is killed and started again
    Then until the end of the cut it is ready only with the revision of its zone's peer
    And the first region sees the second as dead
    When the link between the regions is back
    Then within 12 s every daemon has the last revision and is ready
    And within 12 s of the link's return all members see each other alive
    And the same publish is accepted without an excluded zone
    And no daemon was ever ready with a lower revision than before
    And each long request has its complete answer
    And each call during the cut was answered once by an engine of its own region

  Scenario: Jobs, at-most-once calls and orders to engines survive a cut exactly once
    Guards against items and calls that run or count twice, against jobs without an
    owner, and against an owner of engines that sends orders without a valid lease.
    Given two regions in which "daemon-1" of the second one owns the engines
    And two jobs, of 3000 and 1500 items, with chunks claimed on both sides
    And an order call "before" that runs in the second region
    When the link between the regions is cut
    Then the order call "before" is answered, and the first region does not send it again
    And new jobs and order calls are refused as not run in the second region
    When the second job is cancelled and a second model is published without "zone-c"
    And an engine of the second region loses its model after the old owner's term
    And the link between the regions is back
    Then the first job completes with each of its 3000 items committed once
    And the cut-off daemons ran only their chunks of the cancelled job and stopped in time
    And no result was added to the cancelled job
    And order calls are repeated with their first answer and none ran twice
    And no engine accepted an order of the old owner after its term
    And within 12 s every engine follows the new owner and has the published models

  Scenario: Daemons killed or paused during a cut are not ready with an old revision
    Guards against a daemon that resumes or restarts, can't reach the store or its
    zone, and is ready with a revision that has since been replaced.
    Given two regions with online callers in each
    When the link between the regions goes silent
    And in each region one daemon is killed and one paused
    Then a publish that excludes "zone-c" is accepted and in force in the first region
    When the killed and the paused daemons resume after 9 s
    And the link between the regions is back
    Then no daemon was ready with an old revision after its pause or start
    And within 12 s every daemon has the last revision and is ready
    And within 12 s of the link's return all members see each other alive
    And no daemon was ever ready with a lower revision than before

  Scenario Outline: A sample of a daemon never combines answers around an update
    # Guards against a sample that shows a daemon as ready without a revision because it
    # got its revision between two requests, which failed the scenario above.
    When a daemon that <daemon> is sampled
    Then the sample says <sample>

    Examples:
      | daemon                                       | sample                       |
      | gets its revision between two questions      | ready with revision 7        |
      | is ready and never shows a revision          | ready with revision 0        |
      | has no revision and is not ready             | not ready with revision 0    |

  Scenario: Two daemons whose connections go silent reconnect
    Guards against a daemon that mistakes a silent connection for a dead peer, and
    against messages that are sent over it forever.
    Given two regions with one daemon each
    When the connections between the daemons go silent for good
    Then within 5 s each receives messages from the other again
    And for 6 s neither shows the other as dead
