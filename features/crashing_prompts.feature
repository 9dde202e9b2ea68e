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
      | a        | 1:~r1/a,x 2:~r2/a,x                                 | nothing     |
      | a        | 1:~r1/a,x 2:~r2/a,x 3:~r3/a,x 4:~r4/a,x             | x           |

    Examples: a segment that has been answered needs twice the evidence, and others' answers
      | answered | ends                                    | quarantined |
      | a        | 1:r1/a 2:r2/a 3:r3/a                    | nothing     |
      | a        | 1:r1/a 2:r2/a 3:r3/a 4:r4/a             | nothing     |
      | a, b x 9 | 1:r1/a 2:r2/a 3:r3/a 4:r4/a             | a           |

  # Guards against a quarantine that no answer ends.
  Scenario Outline: An answer clears the segments of its request
    Given a daemon that has seen answers on a
    When targets end under 1:r1/a,s,p 2:r2/a,s,p
    And an answer begins on <segments>
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
