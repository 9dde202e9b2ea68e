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
