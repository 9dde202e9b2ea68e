Feature: Replicas follow demand above the declared number

  Each engine has 16 slots and holds 2 models, so a replica counts as 8 slots, with a
  target utilisation of 70%. A round of the owner takes 2 s and a load 2 rounds.

  Scenario: Replicas follow demand that moves to another model
    Guards against a placement for outdated demand. The limit is the 60 s for which a
    fall must last, plus 7 replicas in twos of 4 rounds each.
    Given 6 engines in memory with models "a" of 1, "b" of 1 and "c" of 1 replicas
    When demand is 40 slots of "a" and 4 of "b" for 400 seconds
    Then "a" has 6 replicas and "c" has 1
    When demand is 4 slots of "a" and 40 of "b" for 92 seconds
    Then "b" has 6 replicas and "c" has 1

  Scenario Outline: Oscillating demand leads to few loads
    Guards against loading and unloading with each oscillation. One that is shorter than
    the 60 s for which a fall must last moves nothing, and a longer one moves a replica
    at most once in its residence time of 300 s.
    Given 6 engines in memory with models "a" of 1, "b" of 1 and "c" of 1 replicas
    When demand swings between "a" and "b" every <swing_s> seconds for 3600 seconds
    Then at most <loads> loads were ordered, 9 of them without an eviction
    And each unloaded replica had been loaded for 300 seconds

    Examples:
      | swing_s | loads |
      | 40      | 9     |
      | 200     | 117   |

  Scenario: After the loss of half of the engines under high demand every model is served
    Guards against demand for one model that prevents the reload of the lost ones. The
    limit is the 20 rounds that hold without demand.
    Given 12 engines in memory with models "a" of 2, "b" of 2 and "c" of 1 replicas
    And all models are placed
    When demand is 30 slots of "a" and 30 of "b" for 400 seconds
    Then no more than 2 engines loaded at the same time for demand
    When the engines that hold "c" and others are lost, 6 in all
    Then "c" is the first model to be loaded
    And every model is served again within 20 rounds

  Scenario: Replicas count as in use until demand is known
    Guards against a new owner that unloads what the previous owner loaded for demand
    that it does not know yet.
    Given 2 engines in memory, which all hold "a" of 1 replica and "b" of 1 replica
    And demand is not known
    And the document asks for 2 replicas of "c", of which 1 is served
    Then no second replica was unloaded for it in 400 rounds
    When demand is 0 slots of "a" and 0 of "b" for 400 seconds
    Then "c" has 2 replicas

  Scenario: A daemon counts sent, waiting and refused requests
    Guards against demand that is limited to the capacity of the engines.
    Given a scheduler with one target of 2 slots and a queue of 1
    When 4 requests arrive and the clock advances by 100 seconds
    Then the demand is 2 running and 1 waiting, and just after the arrival 0.2 were sent and 0.1 refused a second
    When all end and the clock advances by 100 seconds
    Then no demand is left

  Scenario: Demand reaches the owners of a large fleet within the control bandwidth
    Guards against control traffic that grows with the number of daemons, and against
    demand of lost daemons. Membership takes 1.7 of the 3 KB/s, so 1.3 are left.
    Given 340 daemons that each have 0.5 running requests of each of 29 services
    When they exchange demand for 240 seconds
    Then each owner knows of 170 running requests of its service
    And no daemon sends and receives more than 1300 bytes a second
    When 140 daemons that own nothing are lost and 240 seconds pass
    Then each owner knows of 100 running requests of its service

  Scenario: Demand from too few daemons is ignored
    Guards against a new owner that plans with the first reports of a few daemons.
    Given 340 daemons that each have 0.5 running requests of each of 29 services
    When they exchange demand for 240 seconds while 2 of 3 reports are lost
    Then no owner knows the demand

  Scenario: Engines of a running fleet load what callers ask for
    Guards against demand that no daemon counts, reports or uses. The limit is twice the
    sum of the report's interval, 10 s, the time constant of the counts, 10 s, five rounds
    of 2 s and 4 s for the loads, since machines are shared.
    Given a fleet of 3 daemons and 4 engines with one model
    When the document adds a second model of 1 replicas with an adapter
    Then within 40 seconds 1 engines hold it with its adapter
    And 3 engines hold it within 68 seconds in which callers keep 14 requests open
