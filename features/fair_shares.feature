Feature: Organisations get fair shares of scarce slots

  # Pattern: one organisation sends several times its usual while targets are nearly full.
  # Guards against others that wait for its surplus or are refused because of it, and
  # against a surplus that waits until it is out of time instead of being refused.
  Scenario Outline: A surge of one organisation costs the others nothing
    Given targets that are 92 % full with the requests of 60 organisations
    When one that usually sends <usual> % of them sends <times> times that for 6.5 s, <how>
    Then the others are granted at least 97 of 100 requests, 99 of 100 of them in time
    And at least <refused> of 100 requests of that one are refused
    And 9 of 10 of its refused requests have waited at most 1 s

    Examples:
      | usual | times | how                          | refused |
      | 20    | 4     | and its clients may return   | 30      |
      | 20    | 7     | and its clients may return   | 50      |
      | 5     | 7     | and its clients may return   | 20      |
      | 20    | 5     | and its clients never return | 30      |
      | 20    | 5     | all of them urgent           | 30      |
      | 20    | 5     | all of them late             | 30      |

  # Guards against a large organisation that loses slots to a smaller one with a surge,
  # though it sends no more than usual.
  Scenario: A large organisation keeps what it usually uses
    Given targets that are 92 % full with the requests of 60 organisations
    And one more organisation that sends a quarter of them
    When one that usually sends 10 % of them sends 7 times that for 6.5 s, and its clients may return
    Then the large one is granted more of its requests than without shares

  # Pattern: demand changes between 0.38 and 1.85 of the mean within 2 s.
  # Guards against organisations that get nothing while all together ask for too much.
  Scenario: Nobody is left out when the demand of all steps up
    Given targets that are 92 % full with the requests of 60 organisations
    When the demand of all steps between 0.38 and 1.85 of that every 2 s
    Then each of them is granted at least a quarter as many of its requests as all together

  # Pattern: more organisations than slots. Guards against one that gets a slot as often
  # as it asks, since it holds none in between.
  Scenario: Many small organisations share a few slots
    Given 1 targets and 100 organisations that together send half of what it serves
    When one that usually sends 1 % of them sends as much as it serves for 6.5 s
    Then the others are granted at least 90 of 100 requests, 97 of 100 of them in time

  # Guards against clients that are told to return at a time at which they are refused
  # as if they came for the first time.
  Scenario: Clients return when their organisation has slots for them
    Given targets that are 92 % full with the requests of 60 organisations
    When one that usually sends 20 % of them sends 5 times that for 6.5 s, and its clients return
    Then its requests that return are granted more often than the others

  # Guards against clients that are told to return and are refused for good.
  Scenario: Half of the clients that return are granted a slot
    Given targets that are 92 % full with the requests of 60 organisations
    When one that usually sends 20 % of them sends 5 times that for 6.5 s, and its clients return
    Then at least half of its requests that return are granted
    And the log names it at most once in 2 s

  # Guards against another order or other refusals where there are no organisations. The
  # digests are those of the decisions of the release without shares.
  Scenario Outline: Without organisations all decisions are those of the release before
    Given 6 clients without an organisation that surge to twice what 4 targets serve
    When the trial with seed <seed> has ended
    Then the digest of its decisions and waiting counts is <digest>

    Examples:
      | seed | digest                           |
      | 1    | e9717489da3af96d334f68b1e3f8ac06 |
      | 2    | 8f5d9366f754a61a482a37be6fcc1908 |

  # Guards against slot requests that a coordinator of the release before rejects.
  Scenario: The release before decodes the slot requests of organisations
    When a slot request is encoded with and without an organisation
    Then the one without is as before, and the other has as many fields of the same types
    And each is decoded to what it was

  # Guards against requests that are refused because of another organisation's surplus at
  # other daemons, where each daemon decides on its own.
  Scenario Outline: Daemons tell each other which requests are beyond their shares
    Given a daemon whose 1 targets are full, with 2 requests of "hot" waiting
    When another daemon reports <within> waiting requests within their shares and <beyond> beyond
    Then a request of "calm" <calm> and one of "hot" <hot>

    Examples:
      | within | beyond | calm       | hot        |
      | 0      | 60     | waits      | is refused |
      | 60     | 0      | is refused | is refused |

  # Guards against slots that a surplus takes at one daemon while requests of others wait
  # within their shares at another one.
  Scenario: Where there is no coordinator, a surplus leaves slots to requests at others
    Given a daemon whose 1 targets are full, with 2 requests of "hot" waiting
    When another daemon reports 5 waiting requests within their shares and 0 beyond
    And a slot of the daemon becomes free
    Then 2 requests wait at the daemon
    When another daemon reports 0 waiting requests within their shares and 0 beyond
    And a slot of the daemon becomes free
    Then 0 requests wait at the daemon

  # Guards against a coordinator that takes the requests of all daemons for one
  # organisation's.
  Scenario: A coordinator divides slots among organisations at any daemon
    Given a coordinator of 3 daemons before 1 targets of 8 slots
    When a daemon requests 20 slots for "hot", and then another one 2 slots for "calm"
    And 2 slots become free
    Then the requests for "calm" have been granted both

  # Guards against due times that are missed because another organisation's jobs came
  # first, and against items of one that overtake more urgent ones of another.
  Scenario: Organisations take turns with batch items
    Given a coordinator of 3 daemons before 1 targets of 8 slots
    When a daemon requests 20 slots for items of "hot", and then another one 2 slots for items of "calm"
    And 4 slots become free
    Then the items of "calm" have been granted both
    And an urgent item of "hot" goes before the others of "calm"
