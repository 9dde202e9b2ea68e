Feature: Requests belong to the organisation of their client's key
  Guards against requests that run without a valid key, that targets take for
  another organisation's, or whose key reaches a target.

  Background:
    Given a daemon with the organisations "north" with key "key-n1" and "south" with key "key-s1"

  Scenario Outline: A request with <credentials> gets <status>
    When a client sends a request with <credentials>
    Then the client gets status <status>
    And the target was told <told> and never a key

    Examples:
      | credentials                         | status | told  |
      | the key n1                          | 200    | north |
      | the key s1 and the claim of north   | 200    | south |
      | no key                              | 401    | no    |
      | the key n2                          | 401    | no    |
      | two keys n1 and s1                  | 401    | no    |
      | the scheme Bearer and n1            | 401    | no    |

  Scenario: A public route needs no key
    Given its route is public
    When a client sends a request with the claim of north
    Then the client gets status 200
    And the target was told nobody and never a key

  Scenario: Without organisations all headers pass as they came
    Given the configuration names no organisations
    When a client sends a request with the key n1
    Then the client gets status 200
    And the target got the key

  Scenario: A key that was taken away stops to work
    Given a configuration that takes the key "key-n1" away
    When a client sends a request with the key n1
    Then the client gets status 401

  Scenario Outline: A daemon out of touch for <age_s> s answers <status> to <credentials>
    Guards against keys that still work at a daemon that has not learned that
    they were taken away, and against denying keys that were just added.

    Given keys must stop to work within 5 s
    And the configuration was confirmed <age_s> s ago
    When a client sends a request with <credentials>
    Then the client gets status <status>

    Examples:
      | age_s | credentials | status |
      | 2.9   | the key n1  | 200    |
      | 4.6   | the key n1  | 503    |
      | 3.9   | the key n2  | 401    |
      | 4.1   | the key n2  | 503    |

  Scenario: Keys are neither kept nor logged as they are
    When a client sends a request with the key n2
    Then neither the configuration in memory nor the log holds a key

  Scenario: The organisation's priority goes before the route's
    Given "north" has the priority 3 and "south" has none
    Then requests of "north" have the priority 3 and those of "south" 0

  Scenario: Each organisation has a token quota of its own on a batch route
    Given a quota of 100 waiting tokens for each organisation
    When daemons accept 5 jobs of 30 tokens of each at the same moment
    Then 3 jobs of each organisation were accepted, the others are over quota

  Scenario: A job is only its organisation's
    Given a job of "south"
    When clients of "north" and "south" read and end it
    Then those of "north" get 404 and those of "south" 200
    And an item's request tells its target the organisation, whatever its headers say

  Scenario Outline: A copy of the configuration stays young where keys must stop in time
    Guards against requests that are rejected while the store is sound, because a
    copy counts as old as the last poll that has ended.

    Given keys must stop to work within <limit_s> s
    Then a copy that is two polls old still serves keyed requests
    And so it does after 0.6 of that time without the store

    Examples:
      | limit_s |
      | 5       |
      | 2       |
