Feature: Organisations get what their quota allows over all daemons, and no more

  # Guards against quotas that each daemon keeps for itself, or that no daemon reads, and
  # against calls on jobs or organisations without a quota that count.
  Scenario: A daemon refuses what goes beyond a quota
    Given a daemon with an organisation of 2 requests a second and a burst of 5
    When a client of the organisation sends 40 requests at once
    Then between 5 and 12 of them reach a target
    And the others get status 429 with a Retry-After between 0.01 and 2 s
    And 10 requests of an organisation without a quota reach a target

  # Guards against requests that wait for long when nobody can decide about them.
  Scenario: Without an issuer a request is refused soon
    Given a daemon with an organisation of 2 requests a second and a burst of 5
    And the daemon hears no other one of 9
    When a client of the organisation sends 1 requests at once
    Then all of them get status 503 within 0.5 s, none has run

  # Guards against clients that return while all daemons are still starting, and so are
  # refused for good.
  Scenario Outline: A daemon <case> lets a refused client return <returns>
    Given a view of the daemons <case>
    Then the time until tokens are there is between <least> and <most> s

    Examples:
      | case                       | returns           | least | most |
      | that knows no others yet   | after the start   | 1.0   | 1.0  |
      | that has just warmed up    | when it may issue | 0.7   | 0.9  |
      | that started 2 s ago       | at once           | 0.0   | 0.0  |

  # Guards against tokens that are lost with clients that leave while they wait.
  Scenario: A client that leaves gives its token back
    Given an organisation with 3 tokens, at a daemon without requests
    When 10 requests come and 3 that have got a token leave at once
    Then 3 other requests get one

  # Guards against groups of daemons that together issue more than the quota.
  Scenario: The shares of separated groups add up to one at most
    Then for all splits of 340 daemons into 2 and of 24 into 3 the shares add up to one at most
    And 272 of 340 daemons may issue all, 68 of them nothing

  # Guards against an issuer that begins with a full bucket, forgets a lower limit, or
  # lends more than overage and slack cover.
  Scenario Outline: An issuer issues <most> tokens at most when <case>
    Given an issuer of a quota of 10 requests a second and a burst of 20
    When it is asked for all that it has after <case>
    Then it issues between <least> and <most> tokens

    Examples:
      | case                                       | least | most |
      | ranking first for 0 s                      | 0     | 0    |
      | ranking first for 1 s                      | 10    | 10   |
      | ranking first for 60 s                     | 31    | 33   |
      | ranking first for 60 s with half of all    | 14    | 16   |
      | another one ranked first 1 s ago           | 9     | 10   |
      | a pause of the process                     | 0     | 0    |
      | the burst was lowered to 5                 | 15    | 17   |
      | others have not confirmed                  | 0     | 0    |
      | another one ranks first                    | 0     | 0    |

  # Guards against settings under which no token can ever be used, or too many can.
  Scenario Outline: A quota of <rate> with a burst of <burst> holds and is useful with <overage> and <slack>
    Given the settings of an overage of <overage> and a slack of <slack>
    Then for <rate> requests a second and a burst of <burst> issue and lending stay within the quota
    And at least 0.9 of the quota is issued, in tokens that live for 0.05 s or more

    Examples:
      | rate | burst | overage | slack |
      | 101  | 101   | 0.1     | 20    |
      | 100  | 0     | 0.0     | 0     |
      | 1    | 1     | 0.1     | 20    |
      | 0    | 50    | 0.1     | 0     |
      | 1000 | 10    | 0.05    | 5     |

  # Guards against a request that waits past its deadline behind one with more time.
  Scenario: A request is given up in time although one before it may wait longer
    Given a daemon whose issuer is another one
    When a request that may wait 0.2 s and one that may wait 0.02 s come
    Then after 0.05 s the second one is given up and the first one still waits

  # Guards against tokens that count twice when datagrams are repeated or come late.
  Scenario Outline: A daemon that asked for 4 tokens can use <count> when the answer <case>
    Given a daemon whose issuer is another one
    When 4 requests come and the answer <case>
    Then <count> of them are admitted

    Examples:
      | case                                | count |
      | comes after 0.04 s                  | 4     |
      | comes twice                         | 4     |
      | comes after 0.26 s                  | 0     |
      | is for an earlier question          | 0     |
      | comes from another daemon           | 0     |
      | grants 1                            | 1     |

  # Guards against returned tokens that are added to the bucket twice, or without ever
  # having been lent.
  Scenario Outline: Tokens that come back <case> count <count> times
    Given an issuer that has lent 5 tokens and has none left
    When 5 tokens come back <case>
    Then it can issue <least> to <most> tokens

    Examples:
      | case                    | count | least | most |
      | once                    | 1     | 5     | 6    |
      | in a repeated message   | 1     | 5     | 6    |
      | from another daemon     | 0     | 0     | 1    |
      | after they were void    | 0     | 0     | 1    |

  # Guards against messages of other daemons that a daemon misreads or that end it.
  Scenario: Messages about quotas pass unchanged, malformed ones are rejected
    Then each message about quotas is the same after it was sent
    And malformed messages about quotas are rejected

  # Guards against refusals below the quota, and against requests that wait for the other
  # region or cost too much.
  Scenario Outline: <daemons> daemons serve an organisation far below its quota
    Given <daemons> daemons of two regions, and an organisation of 101 requests a second
    When it sends 20 requests a second for 15 s, <share> of them to one daemon
    Then all are admitted
    And at most 3 of 100 wait longer than 5 ms
    And no daemon sends more than 1500 bytes a second

    Examples:
      | daemons | share |
      | 9       | 0.1   |
      | 9       | 0.9   |
      | 66      | 0.0   |
      | 66      | 0.9   |

  # Guards against an issuer that takes the organisation with it when it dies.
  Scenario Outline: Few requests are lost when the issuer <fault>
    Given <daemons> daemons of two regions, and an organisation of 101 requests a second
    When it sends 20 requests a second for 15 s, and the issuer <fault> after 8 s
    Then at most <lost> requests are refused
    And no request waits longer than 0.35 s

    Examples:
      | daemons | fault                 | lost |
      | 9       | dies                  | 10   |
      | 66      | dies                  | 10   |
      | 9       | is cut off            | 20   |
      | 9       | stops                 | 10   |

  # Guards against an organisation over its quota that takes others' tokens or time, or is
  # refused what is its own.
  Scenario: An organisation over its quota gets its quota and harms nobody
    Given 9 daemons of two regions, and an organisation of 101 requests a second
    When it sends 400 requests a second for 10 s, and another one 5
    Then it gets between 900 and 1300 requests admitted
    And all requests of the other one are admitted
    And no daemon sends more than 3000 bytes a second

  # Guards against any sequence of faults that lets more requests run than the quota with
  # overage and slack.
  Scenario Outline: No sequence of <faults> lets more than the quota run
    When 5 daemons are fuzzed with <examples> sequences of <faults>
    Then in none more requests ran in 5 s than the quota allows

    Examples:
      | faults                           | examples |
      | kills and starts                 | 12       |
      | pauses                           | 8        |
      | separations                      | 12       |
      | broken links                     | 12       |
      | links that fail in one direction | 12       |
      | lost, late and repeated messages | 8        |
      | changed limits                   | 8        |
      | all of these                     | 30       |

  # Guards against a fuzzing that would not find too many tokens.
  Scenario Outline: The fuzzing finds an issuer that <defect>
    Then the fuzzing finds an issuer that <defect>

    Examples:
      | defect                                |
      | begins with a full bucket             |
      | asks no other daemon for confirmation |
