Feature: An item goes on only at the service that wrote its events

  # Guards against a text joined from two services, since each run of an item on a split
  # route draws its service anew.
  Scenario: Items of a split route go on at their service after a crash
    Given 20 items on a route to lm-a, lm-b
    When the first run of each item breaks off after 8 events
    Then each item has a whole text of one service
    And each second run begins behind event 8 at the service of the first

  # Guards against an item that goes on at another service when its own one is no longer
  # allowed, and against a run at a service that the configuration does not allow.
  Scenario Outline: Items whose route <changes> while they are under way begin anew there
    Given 10 items on a route to <before>
    When the first run of each item breaks off after 8 events, and the route <changes>
    Then each item has a whole text of one service
    And each second run is at <after>

    Examples:
      | before     | changes                 | after |
      | lm-a       | moves to lm-b           | lm-b  |
      | lm-a, lm-b | drops lm-a              | lm-b  |
      | lm-a, lm-b | gives lm-a the weight 0 | lm-b  |

  # Guards against items that begin anew when the split of their route changes but still
  # allows their service.
  Scenario: Items keep to their service when the split changes
    Given 20 items on a route to lm-a, lm-b
    When the first run of each item breaks off after 8 events, and the route gives lm-a the weight 0.01
    Then each item has a whole text of one service
    And each second run begins behind event 8 at the service of the first

  # Guards against stored progress that does not name its service, so that the next owner
  # goes on with it at another one.
  Scenario Outline: The next owner of items whose progress names <service>
    Given 20 items on a route to lm-a, lm-b
    When their owner is replaced after 8 events of each, and their progress names <service>
    Then each item has a whole text of one service
    And each second run begins behind event <event> <where>

    Examples:
      | service       | event | where                           |
      | the service   | 8     | at the service of the first     |
      | no service    | 0     | at any service                  |
      | no version    | 0     | at any service                  |

  # Guards against items that wait for a service without targets for good, or leave it as
  # soon as its targets restart.
  Scenario: Items wait for their service for a limited time
    Given 10 items on a route to lm-a
    When each item breaks off after 8 events, and lm-a has no target while the route is split
    Then no item runs before the wait is over
    And then each item has a whole text of lm-b

  # Guards against items that go on waiting, since each broken run renews their wait.
  Scenario: Items leave a service whose targets break off each run
    Given 10 items on a route to lm-a
    When each item breaks off after 8 events, and lm-a breaks all later runs while the route is split
    Then some items have run at lm-a again
    And then each item has a whole text of lm-b

  # Guards against events that are dropped for a run that is then refused.
  Scenario: An item that another service refuses keeps its events
    Given 1 items on a route to lm-a
    When the item breaks off after 8 events, is refused by lm-b, and runs at lm-a again
    Then each run begins behind event 0, 0, 8
    And its text is whole and of lm-a

  # Guards against an item that reaches a service that its route does not allow, since the
  # entry of its target has changed while the slot was on its way.
  Scenario: A target that has changed its service gets no item of the former one
    Given 1 items on a route to lm-a
    When a slot at a target of lm-a is used after its entry names lm-b
    Then the item is not run

  # Guards against rows of another release that can't be read, or are taken for progress
  # of a known service.
  Scenario Outline: The progress that <release> has stored
    When the progress that <release> has stored is read
    Then its service is <service> and its version is <version>

    Examples:
      | release                              | service | version |
      | this release                         | lm-a    | v1      |
      | the release that names versions      | unknown | v1      |
      | the release that names none          | unknown | unknown |

  # Guards against progress that an earlier release, which runs beside this one, can't read.
  Scenario: An earlier release reads the progress that this one stores
    When an earlier release reads the progress that this one stores
    Then it finds the events and the version
