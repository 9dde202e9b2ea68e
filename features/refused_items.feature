Feature: Items that every target refuses are told from those that wait for room

  # Guards against items that are sent again and again with a constant pause, so that they
  # take nearly all starts of a daemon and sound ones behind them never run.
  Scenario: Sound items run behind items that every target refuses
    Given 24 items kept for 90 s on a route to lm-a
    When every target refuses the first 19 items for 3 s
    Then the last 5 items are completed
    And each refused item was sent at most 8 times

  # Guards against the same where runs are recorded before they begin, as after lost owners:
  # the refused items would keep all records.
  Scenario: Sound items run behind refused ones after owners were lost
    Given 24 items kept for 90 s on a route to lm-a
    When two owners are lost and every target refuses the first 19 items for 5 s
    Then the last 5 items are completed

  # Guards against items that are never listed, although they may be abandoned.
  Scenario: An item that every target refuses is listed as errored after its retention
    Given 4 items kept for 1 s on a route to lm-a
    When every target refuses the first 2 items for 20 s
    Then the last 2 items are completed
    And the first 2 items are errored, after 2 to 20 s

  # Guards against items that wait for a service without targets and are never listed.
  Scenario: An item that every target of a split route refuses is listed as errored
    Given 2 items kept for 1 s on a route to lm-a, lm-b
    When every target refuses all items for 20 s, and lm-b has no target
    Then the first 2 items are errored, after 2 to 20 s

  # Guards against items that are given up for refusals that pass: by full targets, or by
  # targets that refuse other requests too.
  Scenario Outline: An item is not given up while its targets <are>
    Given 2 items kept for 1 s on a route to lm-a
    When every target refuses all items for 14 s while they <are>
    Then no item is listed
    And all items are completed once the targets take them

    Examples:
      | are                          |
      | are full by others' counts   |
      | refuse online requests       |

  # Guards against items that are given up although one target of their route has room for them.
  Scenario Outline: An item that only <target> can take is completed
    Given 3 items kept for 1 s on a route to lm-a, lm-b
    When every target but <target> refuses all items for 20 s
    Then the last 3 items are completed

    Examples:
      | target |
      | lm-a-1 |
      | lm-b-0 |

  # Guards against a small share of a split route that refused items hardly ever reach.
  Scenario: Refused items reach a service of small weight
    Given 3 items kept for 90 s on a route to lm-a, lm-b
    When lm-b has the weight 0.001 and every target of lm-a refuses all items for 20 s
    Then the last 3 items are completed

  # Guards against a new daemon, or a further job, that finds out for each item by itself.
  Scenario: Items as large as a doubtful one go last too
    Given an item of 500 tokens has become doubtful on a route
    Then items of the route go last as follows
      | tokens | goes last |
      | 499    | no        |
      | 500    | yes       |
      | 900    | yes       |
    When a target takes an item of 600 tokens
    Then items of the route go last as follows
      | tokens | goes last |
      | 499    | no        |
      | 900    | no        |

  # Guards against refusals that show nothing of the item but are counted, or the reverse.
  Scenario Outline: A refusal with status <status> by a target that <online>, with <load> of 8 slots in use
    When a target that <online> refuses an item with status <status> and <load> of 8 slots in use
    Then the refusal is <kind>

    Examples:
      | online                              | status | load | kind        |
      | took an online request              | 503    | 8    | telling     |
      | refused an online request           | 503    | 1    | not telling |
      | refused one and then took another   | 503    | 8    | telling     |
      | took one and then refused another   | 503    | 1    | not telling |
      | took one 6 s ago                    | 503    | 8    | not telling |
      | refused one 6 s ago                 | 503    | 1    | telling     |
      | had none                            | 503    | 4    | telling     |
      | had none                            | 503    | 5    | not telling |
      | took an online request              | 429    | 1    | not telling |
      | took an online request              | 421    | 1    | not telling |

  # Guards against a fleet that is full for long and gives up items that would fit.
  Scenario Outline: Of 20000 items that fit, targets that refuse <share> of all requests prove at most 2 too large
    When 20000 items that fit are sent until they are taken, or proved too large, while <share> of all requests are refused
    Then at most 2 of them are proved too large

    Examples:
      | share |
      | 0.1   |
      | 0.5   |
      | 0.9   |
      | 0.98  |
