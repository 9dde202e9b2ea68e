Feature: A stream holds events of one software version only

  # Guards against an answer whose first part is written by one software version and the
  # rest by another one, because the daemon itself went on elsewhere.
  Scenario Outline: A stream that <breaks> goes on at the version that began it
    Given targets <targets> of one service
    When 20 clients request streams, and the target a <breaks>
    Then no stream holds events of two versions
    And <left>

    Examples:
      | targets          | breaks                             | left                                           |
      | a v1, b v2       | breaks each off after 8 events     | those that broke off were given up by 2 s |
      | a v1, b v2, c v1 | breaks each off after 8 events     | all streams are whole                          |
      | a v1, b v2       | crashes                            | those that broke off were given up by 2 s |
      | a v1, b v2, c v1 | crashes                            | all streams are whole                          |
      | a 1, b 2, c 1    | breaks each off after 8 events     | all streams are whole                          |
      | a -, b v2, c -   | breaks each off after 8 events     | all streams are whole                          |
      | a v1, b v1       | breaks each off after 8 events     | all streams are whole                          |

  # Guards against a client's next try that goes on at another version than the first one.
  Scenario Outline: A stream that its client resumes at <daemon> goes on at its version
    Given targets a v1, b v2, c v1, d v2 of one service
    When 20 clients leave their streams after 8 events and resume them at <daemon>
    Then no stream holds events of two versions
    And all streams are whole

    Examples:
      | daemon                                     |
      | the same daemon                            |
      | another daemon                             |
      | a daemon started after all were killed     |
      | a daemon that has lost the store           |

  # Guards against a third try that is taken for one of the second one's stream.
  Scenario: A stream that its client resumes twice goes on at its version
    Given targets a v1, b v2, c v1, d v2 of one service
    When 20 clients leave their streams after 8 and 16 events and resume them elsewhere
    Then no stream holds events of two versions
    And all streams are whole

  # Guards against a release that makes daemons take a stream for one of the new version,
  # or refuse all streams that began before it.
  Scenario Outline: A stream that is resumed <when> a release goes on at its version
    Given targets a v1, b v1, c v1 of one service
    When 20 clients leave their streams after 8 events, which began <when> a release of v2
    Then no stream holds events of two versions
    And at least half of the streams are whole

    Examples:
      | when   |
      | before |
      | during |

  # Guards against a client that waits for a version that no target serves any more.
  Scenario Outline: A stream whose version <state> is refused at once
    Given targets a v1, b v2 of one service
    When 10 clients leave their streams after 8 events and v1 <state>
    Then no stream holds events of two versions
    And the streams of v1 were refused within 0.5 s, and the others are whole

    Examples:
      | state                             |
      | is served no more                 |
      | is draining                       |
      | comes back as v2 under its id     |
      | becomes v2 in its entry           |

  # Guards against a stream that goes on at another service than the one that began it,
  # since its route splits its requests or has moved.
  Scenario Outline: A stream goes on at the service that began it though its route <changes>
    Given targets a v1, b v2 of two services
    And a route to <first> of them
    When 10 clients leave their streams after 8 events and the route <changes>
    Then no stream holds events of two versions
    And <rest>

    Examples:
      | first    | changes                  | rest                     |
      | both     | stays                    | all streams are whole    |
      | the one  | moves to the other       | no stream has gone on    |

  # Guards against a stream at a service that its route does not allow, since the entry of
  # its target has changed while the slot was on its way.
  Scenario: A stream whose target has just changed its service goes to another one
    Given targets a v1, b v1 of one service
    When a client requests a stream, and the entry of its first target names another service
    Then all streams are whole
    And that target has run nothing

  # Guards against a stream that began at another version than the plan assigns to it, since
  # the targets of that one could not be reached for a moment, and that is resumed at the
  # assigned one after all daemons were killed; and against clients that wait for it.
  Scenario: A stream begins at its assigned version or is refused at once
    Given targets a v1, b v2 of one service
    When 20 clients request streams while b can't be reached, and resume them after its return
    Then no stream holds events of two versions
    And each stream is whole, or was refused within 0.6 s before it began

  # Guards against the record of an attempt that has failed, which is taken for the version
  # at which the next attempt of its request began.
  Scenario Outline: A stream does not begin beside a record of another version
    Given targets a v1, b v2 of one service
    When the record of a stream names v1, <written>, and it begins at v2
    Then it <begins>

    Examples:
      | written                              | begins         |
      | and the store takes another          | begins         |
      | and the store takes no more records  | does not begin |
      | and its write is still on its way    | does not begin |

  # Guards against a daemon that was cut off and followed an earlier plan: its streams are
  # not all of the versions of the plan in force.
  Scenario: A plan that ended 15 s ago may have been followed by a daemon that was cut off
    Given targets a v1, b v2 of one service
    When a plan that gave all streams to v1 ended 15 s ago
    Then no stream is found to be of v2 by the plan, and of v1 some are

  # Guards against an item whose text is joined from two versions.
  Scenario: An item that breaks off starts again at another version
    Given targets a v1, b v2 of one service
    When an item is run at a, which breaks it off after 8 events, and then at b
    Then its text is of one version and whole

  # Guards against progress that another daemon has stored and that is gone on with at
  # another version, or that an earlier release has stored without a version.
  Scenario Outline: An item whose owner has changed goes on <where> with progress <stored>
    Given targets a v1, b v2 of one service
    When an item with 8 events, stored <stored>, is run by its next owner <where>
    Then its text is of one version and whole
    And its run begins behind event <event>

    Examples:
      | stored            | where | event |
      | of v1             | at a  | 8     |
      | of v1             | at b  | 0     |
      | without a version | at a  | 0     |
      | without a service | at a  | 0     |

  # Guards against a stream that is given from a silent target to one of another version.
  Scenario: A stream whose target is silent goes on at its version
    Given targets a v1, b v2, c v1, d v2 of one service
    When 20 clients request streams while a and b are silent for 1.6 s
    Then no stream holds events of two versions
    And all streams are whole

  # Guards against a row that another release or another program has written, which a
  # daemon takes for a plan, or at which it fails.
  Scenario Outline: A row that is no plan joins no streams
    Given targets a v1, b v2, c v1, d v2 of one service
    When 10 clients leave their streams after 8 events and the plan's row becomes <row>
    Then no stream holds events of two versions
    And streams that are resumed at the same daemon are whole, and the row is a plan again

    Examples:
      | row                            |
      | nothing                        |
      | no JSON                        |
      | null                           |
      | []                             |
      | {}                             |
      | [[null, {}]]                   |
      | [[null, {"v1": 0}]]            |
      | [[5, {"v1": 8}]]               |
      | [[null, {"v1": 8}], [null, 3]] |
      | [[null, {"v1": "8"}]]          |

  # Guards against epochs that a plan no longer holds, and that streams which still go on
  # began in: those that are left may all agree on another version.
  Scenario Outline: A plan tells no version of a stream that began before <dropped>
    Given a plan that gave all streams to v2, and then to v1 <dropped>
    Then it leaves the version of each stream open that began <ago> s ago

    Examples:
      | dropped                                | ago |
      | 70 changes within 14 s                 | 20  |
      | one change 125 s ago and one just now  | 130 |

  # Guards against an epoch that seems to end before it began, since daemons' clocks differ.
  Scenario: The epochs of a plan end in the order in which they began
    Given a plan with an epoch that began at 5000 ms by the clock of its writer
    When a daemon whose clock tells 4000 ms writes the next epoch
    Then the ends of its epochs rise

  # Guards against a stream that begins by an epoch of which copies that still count do not
  # know, at a daemon that had no reason to ask for a version.
  Scenario: No stream begins at a version before its epoch takes effect
    Given targets a v1, b v1 of one service
    When v2 is added to the plan, and a stream of v2 has its first event at once and 1 s later
    Then it does not begin at once, and begins later
