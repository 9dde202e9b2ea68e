Feature: Requests that crash targets are kept from them

  # Guards against requests with one prompt segment in common that crash target after
  # target, since no daemon remembers under which requests a target ended.
  Scenario: A prompt segment that crashes targets soon reaches none
    Given a store, 5 targets and 3 daemons
    And targets that crash on the segment "bad" and return after 1500 ms
    When each daemon has served 12 requests with the segment "shared"
    And for 9 s requests with "shared" and "bad" arrive at every daemon, beside sound ones
    Then at most 3 requests with "bad" reach targets later than 4 s after the fifth crash
    And at least 90% of the sound requests of the last 4 s are served
    And a request with "bad" is refused as not run within 100 ms

  # Guards against blame that misses the segment, or falls on one that sound requests share.
  Scenario Outline: What the ends of targets accuse
    Given a daemon that has seen answers on <answered>
    When targets end under <ends>
    Then in quarantine are <quarantined>

    Examples: a segment needs two ends under two requests
      | answered | ends                              | quarantined  |
      | a        | 1:r1/a,p                          | nothing      |
      | a        | 1:r1/a,p 2:r2/a,p                 | p            |
      | a        | 1:r1/a,p 1:r2/a,p                 | nothing      |
      | a        | 1:r1/a,p 2:r2/b,p                 | p            |
      | nothing  | 1:r1/a,p 2:r2/b,p                 | p            |

    Examples: a segment that crashes targets though each request is repeated
      | answered | ends                                       | quarantined |
      | a        | 1:r1/a,p 2:r1/a,p                          | request r1  |
      | a        | 1:r1/a,p 2:r1/a,p 3:r2/a,p                 | request r1, p |
      | a, 9 earlier | 1:r1/a,p 2:r1/a,p                      | p           |
      | a, 9 earlier | 1:r1/a 2:r1/a                          | request r1  |

    Examples: segments that always come together are refused together
      | answered | ends                        | quarantined |
      | nothing  | 1:r1/a,p 2:r2/a,p           | a+p         |
      | a        | 1:r1/a,s,p 2:r2/a,s,p       | p+s         |
      | a        | 1:r1/a,s,p 2:r2/a,p         | p           |

    Examples: requests that waited beside the one that crashed the target
      | answered | ends                                                | quarantined |
      | a        | 1:r1/a,p 1:r3/a,x 2:r2/a,p 2:r4/a,y                 | p           |
      | a        | 1:r1/a,p 1:~r3/a,x 2:r2/a,p 2:~r4/a,x               | p           |
      | a        | 1:r1/a,p 1:r3/a,x 2:r2/a,p 3:r6/a,x                 | p           |
      | a        | 1:r1/a,p 1:r3/a,x 2:r2/a,p 2:r4/a,x                 | p, x        |
      | a        | 1:~r1/a,x 2:~r2/a,x                                 | nothing     |
      | a        | 1:~r1/a,x 2:~r2/a,x 3:~r3/a,x 4:~r4/a,x             | x           |

    Examples: a segment that has been answered needs twice the evidence, and others' answers
      | answered | ends                                    | quarantined |
      | a        | 1:r1/a 2:r2/a 3:r3/a                    | nothing     |
      | a        | 1:r1/a 2:r2/a 3:r3/a 4:r4/a             | nothing     |
      | a, b x 9 | 1:r1/a 2:r2/a 3:r3/a 4:r4/a             | a           |

    Examples: requests whose answers were under way may have run beside the one that crashed the target
      | answered     | ends                                                                | quarantined |
      | a, 9 earlier | 1:+r1/a,p 2:+r1/a,p 3:+r1/a,p                                       | nothing     |
      | a, 9 earlier | 1:+r1/a,p 2:+r1/a,p 3:+r1/a,p 4:+r1/a,p                             | p           |
      | a            | 1:+r1/a,p 2:+r2/a,p 3:+r3/a,p 4:+r4/a,p                             | p           |
      | a, 9 earlier | 1:r1/a,p 1:+r5/a,x 2:r2/a,p 2:+r5/a,x                               | p           |
      | a, 9 earlier | 1:r1/a,p 1:+r5/a,x 2:r2/c,s 2:+r5/a,x 3:r3/d,t 3:+r5/a,x            | nothing     |
      | a, 9 earlier | 1:+r1/a 2:+r2/a 3:+r3/a 4:+r4/a                                     | nothing     |

  # Guards against a quarantine that no answer ends.
  Scenario Outline: An answer clears the segments of its request
    Given a daemon that has seen answers on a
    When targets end under 1:r1/a,s,p 2:r2/a,s,p
    And an answer on <segments> is whole
    Then in quarantine are <quarantined>

    Examples:
      | segments | quarantined |
      | a        | p+s         |
      | a, s     | p           |
      | a, s, p  | nothing     |

  # Guards against a target that ends under a request which waited there when the decision came.
  Scenario: A request that waits at a target leaves it when it falls under a quarantine
    Given 1 targets behind a daemon with a resumable route
    And the target responds after 2000 ms
    When the daemon hears of a quarantine while a request waits for its first event
    Then the answer has status 502
    And it took less than 1 s
    And the target has seen its caller leave

  # Guards against requests that wait for a slot, or come later, and are sent all the same.
  Scenario: A request in quarantine is refused as not run, with the time of the next try
    Given 1 targets behind a daemon with a resumable route
    When the daemon hears of a quarantine before a request arrives
    Then the answer has status 503
    And it says to return after 20 to 30 s
    And the target has run nothing

  # Guards against each daemon trying an ended target anew until its registration expires.
  Scenario: A target that has ended gets no requests from daemons that have heard of it
    Given 2 targets behind a daemon with a resumable route
    When the daemon hears that the first target has ended, and 20 clients request a stream
    Then the first target has received at most 0 request
    And each client receives 6 events

  # Guards against daemons that go on sending since the news of a quarantine misses them.
  Scenario Outline: All daemons hear of ends and quarantines
    Given <near> daemons in one region and <far> in another, of whose datagrams <lost>% are lost
    When two daemons see targets end under requests with "p"
    Then within 4 s requests with "p" are in quarantine at every daemon
    And requests without it are in quarantine at none
    And a daemon has sent at most <most> datagrams and 400 bytes in each, on average

    Examples: in a region of at most 16 daemons each one tells all others
      | near | far | lost | most |
      | 6    | 3   | 0    | 40   |
      | 6    | 3   | 30   | 40   |
      | 9    | 0   | 30   | 40   |

    Examples: in a larger one the coordinator passes on what is new
      | near | far | lost | most |
      | 30   | 30  | 0    | 40   |
      | 30   | 30  | 30   | 40   |
      | 170  | 170 | 10   | 40   |

  # Guards against a daemon that starts without the quarantines of the others.
  Scenario: A daemon that starts again learns of a quarantine from the others
    Given 6 daemons in one region and 3 in another, of whose datagrams 0% are lost
    When two daemons see targets end under requests with "p"
    And the third daemon starts again while the store is down
    Then within 1 s requests with "p" are in quarantine at every daemon

  # Guards against a series of crashes after all daemons have lost power.
  Scenario: A quarantine outlasts all daemons
    Given 6 daemons in one region and 3 in another, of whose datagrams 0% are lost
    When two daemons see targets end under requests with "p"
    And 1 s later all daemons start again
    Then within 1 s requests with "p" are in quarantine at every daemon

  # Guards against a region that is cut off from the others but not from the store, and
  # against regions that differ once they hear each other again.
  Scenario: Regions that lose each other share quarantines by the store, or after the cut
    Given 6 daemons in one region and 3 in another, of whose datagrams 0% are lost
    When the regions lose each other
    And two daemons of the first region see targets end under requests with "p"
    And every daemon reads the store
    Then within 1 s requests with "p" are in quarantine at every daemon
    When the store is down and two daemons of the first region see targets end under requests with "q"
    And the regions hear each other again
    Then within 4 s requests with "q" are in quarantine at every daemon

  # Guards against a try by each daemon, which would crash as many targets.
  Scenario Outline: When a try is due, one daemon sends one request
    Given 6 daemons in one region and 3 in another, of whose datagrams 0% are lost
    And the store <state>
    When a quarantine of "p" is due for a try, and 4 requests with "p" come to each daemon
    Then <sent> requests with "p" may be sent

    Examples:
      | state        | sent |
      | is up        | 1    |
      | is down      | 0    |
      | loses writes | 0    |

  # Guards against a segment that stays refused for ever although it does no harm.
  Scenario: The answer to a try ends the quarantine everywhere
    Given 6 daemons in one region and 3 in another, of whose datagrams 0% are lost
    And the store is up
    When a quarantine of "p" is due for a try, and 4 requests with "p" come to each daemon
    And the request that was sent is answered
    Then within 2 s requests with "p" are in quarantine at no daemon
    And the store holds no quarantine

  # Guards against refusing items, which are handed in for later and have to be done.
  Scenario: A batch item is neither accused nor refused, and clears its segments
    Given 6 daemons in one region and 3 in another, of whose datagrams 0% are lost
    When two daemons see targets end under requests with "p"
    And an item with "p" is answered at the fourth daemon
    Then within 2 s requests with "p" are in quarantine at no daemon

  # Guards against an item that is never placed again after a burst of crashes, of which it
  # was in several: items are handed in for later and owed whatever ends beside them.
  Scenario: An item under which targets crashed again and again is done once all is calm
    Given a store, 3 targets and 2 daemons
    And targets that crash on their next 4 runs and return after 300 ms
    When a job of 2 items is submitted to the first daemon
    Then the second daemon lists 2 completed results within 30 s
    And targets have crashed at least 6 times

  # Guards against suspects at several targets at a time, each of which they would end.
  Scenario: Requests with a suspect segment go to one target until the decision
    Given 2 targets behind a daemon with a resumable route
    And each target sends an event every 400 ms
    When the daemon hears that another target has ended under "p", and 6 requests with "p" come
    Then one target has run all of them
    And each client receives 6 events
