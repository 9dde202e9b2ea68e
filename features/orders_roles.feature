Feature: Engines get roles and requests go only where they can run

  An engine with the role prefill processes prompts and can't generate an answer.

  Scenario: A request never goes to an engine that only runs prefill
    Guards against requests that an engine must refuse or can't finish.
    Given a scheduler with 3 targets of which "t1" reports the role "prefill"
    When 24 requests are sent and stay open
    Then none went to "t1" and both others got some
    When all targets report the role "prefill" and a request arrives
    Then it waits
    When "t1" reports the role "both"
    Then the waiting request is sent to "t1"

  Scenario: A configured share of the engines gets the role prefill
    Guards against prefill engines that leave a model without its declared replicas, and
    against roles that move with each engine that joins.
    Given 8 engines in memory, 2 with "a" alone, and a prefill share of 0.5
    When "a" is declared with 2 replicas and "b" with 3
    Then 3 engines have the role prefill, none of them holds "a"
    And with a share of 0.2 the one engine keeps the role when one that ranks higher joins

  Scenario: All roles are reverted while half of the engines are lost
    Guards against engines that can't answer while the others are overloaded, and
    against roles that change with each engine that is lost or returns.
    Given 8 engines in memory, 2 with "a" alone, and a prefill share of 0.5
    When "a" is declared with 2 replicas and "b" with 1
    Then with 5 live engines some have the role prefill
    And with 4, 5 and again 5 live engines none has
    And with 6 live engines some have the role prefill

  Scenario: Prefill engines are reverted for a model that only they hold
    Guards against a model that is loaded and can't be served.
    Given 3 engines in memory that hold "a", of which all are declared as prefill
    Then all 3 engines get the role both
    When one is declared as decode instead
    Then it is the only one without the role prefill

  Scenario: Engines of a running fleet get their roles and lose them with half of it
    Guards against orders about roles that are not sent or not repeated, and against a
    request that fails while roles change. The limits are twice the sum of the time
    after which an engine counts as unresponsive, 6 s, and five rounds of 2 s.
    Given a fleet of 3 daemons and 4 engines with a prefill share of 0.25
    Then within 32 seconds 1 engine has the role prefill
    And 30 requests over 3 seconds are answered and none ran on the prefill engine
    When 2 of the other engines are killed
    Then within 32 seconds both engines that are left have the role both
    And 30 requests over 3 seconds are answered and both engines ran some
