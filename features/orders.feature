Feature: Orders keep the declared models loaded

  The placement depends on the document and the loaded models; only the owner of a group
  sends orders, and each order carries the owner's fencing token.

  Scenario: After the loss of half of the engines every model is served again
    Guards against a model that stays without replica while others are reloaded, and
    against reloading more engines at once than the limit allows.
    Given 12 engines in memory with models "a" of 4, "b" of 3 and "c" of 1 replicas
    And all models are placed
    When the engines that hold "c" and others are lost, 6 in all
    Then "c" is the first model to be loaded
    And every model is served again within 20 rounds
    And all models reach their replicas or every engine is full within 80 rounds

  Scenario: Replicas of a model are spread over the zones
    Guards against a model whose replicas are all lost with one zone.
    Given 6 engines in memory with models "a" of 3, "b" of 3 and "c" of 3 replicas
    And all models are placed
    Then each model has a replica in each of 3 zones

  Scenario: Surplus replicas stay where they are
    Guards against needless unloads and reloads.
    Given 4 engines in memory, which all hold "a" of 1 replica
    When 400 rounds run
    Then no order was sent

  Scenario: A surplus replica is evicted only after its residence time
    Guards against thrashing between models that share full engines.
    Given 2 engines in memory, which all hold "a" of 1 replica and "b" of 1 replica
    When "c" of 1 replica and "d" of 1 replica are declared as well
    Then the models without any replica are loaded at once
    And "a", "b", "c" and "d" are all served and no order follows in 400 rounds

  Scenario: A missing replica waits for the residence time of a surplus replica
    Guards against evicting a replica that was just loaded.
    Given 2 engines in memory, which all hold "a" of 1 replica and "b" of 1 replica
    When 20 rounds run
    And the document asks for 2 replicas of "c", of which 1 is served
    Then the second replica of "c" is ordered no earlier than 300 seconds after the start

  Scenario: A new version replaces the old one engine by engine
    Guards against a model that is not served while its version changes.
    Given 3 engines in memory, which all hold "a" of 1 replica
    When the document declares version "2" of "a" with adapter "tuned"
    Then after at most 60 rounds all 3 engines hold only version "2" with the adapter

  Scenario: A model that is no longer declared is unloaded after its residence time
    Guards against engines that fill up with undeclared models.
    Given 3 engines in memory, which all hold "a" of 1 replica and "b" of 1 replica
    When "b" is no longer declared and 200 rounds run
    Then "b" is not loaded anywhere and "a" is served by 3 engines

  Scenario Outline: Random losses and returns never cause flapping
    Guards against orders that undo each other, and against unloading the last replica.
    Given 6 engines in memory with models "a" of 4, "b" of 3 and "c" of 2 replicas
    And all models are placed
    When engines are lost and return at random over 200 rounds with seed <seed>
    Then every unload is past the residence time or makes room for an unserved model
    And each load replaces a lost or evicted replica or adds a newly declared one
    And no order follows once the engines no longer change

    Examples:
      | seed  |
      | 11    |
      | 4021  |
      | 77003 |

  Scenario: A model that is added to the document is loaded and outlives its engines
    Guards against a declared model that is not loaded, or not loaded again after all
    engines that hold it are killed at once. The limits are twice the sum of the time
    after which an engine counts as unresponsive, 6 s, five rounds of 2 s and 4 s for
    the loads, since machines are shared.
    Given a fleet of 3 daemons and 4 engines with one model
    When the document adds a second model of 2 replicas with an adapter
    Then within 40 seconds 2 engines hold it with its adapter
    And within 10 seconds every daemon answers a completion of it
    And within 10 seconds every daemon answers a completion of its adapter
    When all engines that hold it are killed
    Then within 40 seconds 2 engines hold it with its adapter
    And within 10 seconds every daemon answers a completion of it
    And only one daemon has sent orders, each engine at most 1 loads

  Scenario: An owner that is paused past its term sends no order
    Guards against an order from a holder whose lease expired unnoticed.
    Given an owner of engines in memory that check fencing tokens
    When the owner is paused past its term while it reads back
    Then it sent no order
    And it sends the orders after it has renewed its session

  Scenario: An owner whose term is nearly over sends no order
    Guards against an order that is still in flight when the term ends.
    Given an owner of engines in memory that check fencing tokens
    When the owner is paused until less than a call's time of its term is left
    Then it sent no order
    And it sends the orders after it has renewed its session

  Scenario: An order whose answer is lost is read back
    Guards against a second order for a load that took effect.
    Given an owner of engines in memory that check fencing tokens
    When the answer to its first order to load is lost after it took effect
    Then each engine got one order to load and holds the model

  Scenario: An order on a connection that breaks is not sent again
    Guards against the connection pool resending an order.
    Given an engine that closes the connection after it has read an order
    When an order follows a read over the task's client
    Then the order fails and was sent once

  Scenario: An acquisition whose answer is lost is detected
    Guards against a group whose owner does not know that it owns it.
    Given an owner of engines in memory that check fencing tokens
    When the answer to its acquisition is lost after it took effect
    Then it owns the group with the token of the row and has written the row once

  Scenario: A live owner keeps its group
    Guards against daemons that take a group from each other in turn, so that engines
    that ignore fencing tokens never get an order.
    Given an owner of engines in memory that check fencing tokens
    When two owners renew their sessions and try over 100 rounds
    Then the first keeps the group and its row is written once

  Scenario Outline: Two competing owners never share a fencing token
    Guards against two owners whose orders engines can't tell apart, and against orders
    from an old owner that take effect after those from a new one, while answers of the
    store and of engines are lost, orders arrive late and owners are paused.
    When two owners compete over 600 rounds with faults and seed <seed>
    Then no token was used by two owners and both have sent orders
    And no order was sent without a valid session
    And no engine applied an order with a lower token after one with a higher

    Examples:
      | seed  |
      | 3     |
      | 518   |
      | 90210 |

  Scenario: An engine that checks fencing tokens refuses a late order of the old owner
    Guards against a late order to an engine to which the new owner had nothing to send.
    Given a stand-in engine that checks fencing numbers
    When an owner has loaded a second model and is paused until another one owns it
    And the old owner's order to unload the model arrives late
    Then the engine refuses it and keeps the model
    And the old owner sends no order when it resumes

  Scenario: A late order to an engine that ignores fencing tokens is corrected
    Guards against a new owner that sends orders while those of the old one may still
    arrive, and against one that does not read back their effect.
    Given a stand-in engine that ignores fencing numbers
    When an owner has loaded a second model and is paused until another one owns it
    And the old owner's order to unload the model arrives late
    Then the model is gone and the new owner sends no order before the grace period ends
    And after the grace period the new owner loads the model again
    And the old owner sends no order when it resumes

  Scenario: The last replicas of models are never evicted
    Guards against trading one unserved model for another.
    Given 2 engines in memory, of which one holds "a" and "b" and one "c" and "d"
    When "e" of 1 replica is declared as well
    Then no order follows in 300 rounds and "e" lacks 1 replica

  Scenario: Few engines load at the same time
    Guards against so many concurrent loads that none ends in time, because they share
    the bandwidth of the weight store.
    Given 30 engines in memory, which all hold "a" of 1 replica
    When "c" of 12 replicas is declared and placed
    Then 4 engines loaded at the same time and never more

  Scenario: A replica on an uncertain engine does not replace another
    Guards against unloading a replica while an order in flight may unload the other.
    Given an engine full with "a" and "b", and another one with "a" and "d"
    When "c" without any replica is planned while the other engine is uncertain
    Then the full engine keeps "a"
    When "c" without any replica is planned while the other engine is steady
    Then the full engine evicts "a" for "c"

  Scenario: Old versions stay until the new one is loaded
    Guards against engines without the model while others load its new version.
    Given 6 engines in memory, which all hold "a" of 1 replica
    And one engine loads at a time while all may change
    When the document declares version "2" of "a" with adapter "tuned"
    Then 6 engines hold the model in each of the 60 rounds until all have version "2"
