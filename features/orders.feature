Feature: Orders keep the declared models loaded

  Decisions take the document and what engines have loaded; only the owner of a group
  gives orders, and each order carries the owner's fencing number.

  Scenario: Half of the engines go and every model is served again
    Guards against a model that stays without replica while others are reloaded, and
    against reloading more engines at once than the limit allows.
    Given 12 engines in memory with models "a" of 4, "b" of 3 and "c" of 1 replicas
    And all models are placed
    When the engines that hold "c" and others go, 6 in all
    Then "c" is the first model to be loaded
    And every model is served again within 20 rounds
    And all models reach their replicas or every engine is full within 80 rounds

  Scenario: Replicas of a model are spread over the zones
    Guards against a model whose replicas all go with one zone.
    Given 6 engines in memory with models "a" of 3, "b" of 3 and "c" of 3 replicas
    And all models are placed
    Then each model has a replica in each of 3 zones

  Scenario: Surplus replicas stay where they are
    Guards against unloading and reloading without a need.
    Given 4 engines in memory, which all hold "a" of 1 replica
    When 400 rounds run
    Then no order was given

  Scenario: A surplus replica makes room only after its residence time
    Guards against thrashing between models that share full engines.
    Given 2 engines in memory, which all hold "a" of 1 replica and "b" of 1 replica
    When "c" of 1 replica and "d" of 1 replica are declared as well
    Then the models without any replica are loaded at once
    And "a", "b", "c" and "d" are all served and no order follows in 400 rounds

  Scenario: A short model waits for the residence time of a surplus replica
    Guards against displacing a replica that was loaded a moment ago.
    Given 2 engines in memory, which all hold "a" of 1 replica and "b" of 1 replica
    When 20 rounds run
    And the document asks for 2 replicas of "c", of which 1 is served
    Then the second replica of "c" is ordered no earlier than 300 seconds after the start

  Scenario: A new version replaces the old one engine by engine
    Guards against a model that is nowhere served while its version changes.
    Given 3 engines in memory, which all hold "a" of 1 replica
    When the document declares version "2" of "a" with adapter "tuned"
    Then after at most 60 rounds all 3 engines hold only version "2" with the adapter

  Scenario: A model that is no longer declared is unloaded after its residence time
    Guards against engines that fill up with models that nobody declares.
    Given 3 engines in memory, which all hold "a" of 1 replica and "b" of 1 replica
    When "b" is no longer declared and 200 rounds run
    Then "b" is loaded nowhere and "a" is served by 3 engines

  Scenario Outline: Random losses and returns never cause flapping
    Guards against orders that undo each other, and against unloading the last replica.
    Given 6 engines in memory with models "a" of 4, "b" of 3 and "c" of 2 replicas
    And all models are placed
    When engines go and return at random over 200 rounds with seed <seed>
    Then every unloading is past its residence time or serves a model without replica
    And each load replaces a replica that was lost, displaced or declared anew
    And no order follows once the engines stay as they are

    Examples:
      | seed  |
      | 11    |
      | 4021  |
      | 77003 |

  Scenario: A model that is added to the document is loaded and outlives its engines
    Guards against a declared model that nobody loads, and against one that stays away
    after all engines that hold it are killed at once. The limits are twice the sum of
    the time after which an engine counts as silent, 6 s, five rounds of 2 s and 4 s for
    the loads, since machines are shared.
    Given a fleet of 3 daemons and 4 engines with one model
    When the document adds a second model of 2 replicas with an adapter
    Then within 40 seconds 2 engines hold it with its adapter
    And within 10 seconds every daemon answers a completion of it
    And within 10 seconds every daemon answers a completion of its adapter
    When all engines that hold it are killed
    Then within 40 seconds 2 engines hold it with its adapter
    And within 10 seconds every daemon answers a completion of it
    And only one daemon has given orders, each engine at most 1 loads

  Scenario: An owner that is paused past its term gives no order
    Guards against an order of a holder that still believes in its lease.
    Given an owner of engines in memory that check numbers
    When the owner is paused past its term while it reads back
    Then it gave no order
    And it gives the orders after it has renewed its session

  Scenario: An owner whose term is nearly over gives no order
    Guards against an order that is still under way when the term ends.
    Given an owner of engines in memory that check numbers
    When the owner is paused until less than a call's time of its term is left
    Then it gave no order
    And it gives the orders after it has renewed its session

  Scenario: An order whose answer is lost is read back
    Guards against a second order for a load that took effect.
    Given an owner of engines in memory that check numbers
    When the answer to its first order to load is lost after it took effect
    Then each engine got one order to load and holds the model

  Scenario: An order on a connection that breaks is not sent again
    Guards against the connection pool repeating an order on its own.
    Given an engine that closes the connection after it has read an order
    When an order follows a read over the task's client
    Then the order fails and was sent once

  Scenario: An acquisition whose answer is lost is adopted
    Guards against a group that its owner does not know of, so that nobody serves it.
    Given an owner of engines in memory that check numbers
    When the answer to its acquisition is lost after it took effect
    Then it owns the group with the number of the row and has written the row once

  Scenario: A live owner keeps its group
    Guards against daemons that take a group from each other in turn, so that engines
    that ignore numbers never get an order.
    Given an owner of engines in memory that check numbers
    When two owners renew their sessions and try over 100 rounds
    Then the first keeps the group and its row is written once

  Scenario Outline: Two owners in competition never share a number
    Guards against two owners whose orders engines can't tell apart, and against orders
    of an old owner that take effect after those of a new one, while answers of the
    store and of engines are lost, orders come late and owners are paused.
    When two owners compete over 600 rounds with faults and seed <seed>
    Then no number was used by two owners and both have given orders
    And no order was given without a valid session
    And no engine took an order with a lower number after one with a higher

    Examples:
      | seed  |
      | 3     |
      | 518   |
      | 90210 |

  Scenario: An engine that checks numbers refuses a late order of the old owner
    Guards against a late order to an engine that the new owner had nothing to order.
    Given a stand-in engine that checks fencing numbers
    When an owner has loaded a second model and is paused until another one owns it
    And the old owner's order to unload the model arrives late
    Then the engine refuses it and keeps the model
    And the old owner gives no order when it goes on

  Scenario: A late order to an engine that ignores numbers is put right
    Guards against a new owner that orders while the old one's orders may arrive, and
    against one that does not look at what they left.
    Given a stand-in engine that ignores fencing numbers
    When an owner has loaded a second model and is paused until another one owns it
    And the old owner's order to unload the model arrives late
    Then the model is gone and the new owner gives no order before the quiet time
    And after the quiet time the new owner loads the model again
    And the old owner gives no order when it goes on

  Scenario: The last replicas of models never make room
    Guards against trading one unserved model for another.
    Given 2 engines in memory, of which one holds "a" and "b" and one "c" and "d"
    When "e" of 1 replica is declared as well
    Then no order follows in 300 rounds and "e" lacks 1 replica

  Scenario: Few engines load at the same time
    Guards against loads that share the weight store's rate until none ends in time.
    Given 30 engines in memory, which all hold "a" of 1 replica
    When "c" of 12 replicas is declared and placed
    Then 4 engines loaded at the same time and never more

  Scenario: A replica under doubt does not stand in for another
    Guards against unloading a replica while an order of somebody may unload the other.
    Given an engine full with "a" and "b", and another one with "a" and "d"
    When "c" without any replica is planned while the other engine is under doubt
    Then the full engine keeps "a"
    When "c" without any replica is planned while the other engine is steady
    Then the full engine gives "a" up for "c"

  Scenario: Old versions stay until the new one has arrived
    Guards against engines without the model while others load its new version.
    Given 6 engines in memory, which all hold "a" of 1 replica
    And one engine loads at a time while all may change
    When the document declares version "2" of "a" with adapter "tuned"
    Then 6 engines hold the model in each of the 60 rounds until all have version "2"
