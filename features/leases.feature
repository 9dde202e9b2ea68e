Feature: A session ends for its holder before it ends for others

  Scenario Outline: Fuzzing finds no holder that acts outside its term
    # Guards against a term counted from the answer, an epoch that comes back, and an
    # observer that ends an epoch which is still valid.
    When "<machine>" is fuzzed with 60 examples of 40 steps
    Then the fuzzing ran at least 1000 steps

    Examples:
      | machine      |
      | two holders  |
      | one holder   |

  Scenario Outline: The fuzzing rejects a broken holder
    # Guards against a fuzzing that would pass whatever the code did.
    Then the fuzzing rejects the broken "<machine>" within 60 examples

    Examples:
      | machine         |
      | late holder     |
      | reviving holder |

  Scenario Outline: What a daemon may still do when it can't renew
    # Guards against orders to engines, claims and calls that need the lease or the store.
    Then "<action>" is <with lease> with a lease and a silent store, <without lease> without both, and <lapsed> with a store but no lease

    Examples:
      | action            | with lease | without lease | lapsed  |
      | SERVE_ONLINE      | allowed    | allowed       | allowed |
      | RUN_CLAIMED_ITEM  | allowed    | allowed       | allowed |
      | COMMIT_CHUNK      | allowed    | allowed       | allowed |
      | CLAIM_CHUNK       | denied     | denied        | denied  |
      | SEND_ENGINE_ORDER | allowed    | denied        | denied  |
      | ACCEPT_JOB        | denied     | denied        | allowed |
      | CALL_AT_MOST_ONCE | denied     | denied        | allowed |

  Scenario: A new owner of an engine group waits for orders of the old one
    # Guards against an old order that an engine without fencing runs after a new one.
    Given an engine group owned by a daemon whose session has lapsed
    When another daemon acquires the group
    Then it may order engines that check fencing at once
    And it may order engines that ignore fencing only after the old term and the longest order
    And the fencing number is higher than the old one

  Scenario: An owner whose session lapses sends no more orders
    # Guards against a daemon that wakes from a pause and goes on as the owner.
    Given an engine group owned by a daemon whose session is valid
    When the owner is paused past its term
    Then it may not order any engine
    And it may not after it has a new epoch

  Scenario: A group whose owner renews its session can't be taken
    # Guards against two owners at a time.
    Given an engine group owned by a daemon whose session is valid
    When the owner renews its session for a minute while another daemon watches
    Then the other daemon may not acquire the group

  Scenario: A process woken after its lease does not act on its old epoch
    # Guards against a holder that trusts a deadline which passed while it was stopped.
    Given a stand-in platform and 2 member processes with sessions of 2 seconds
    When the first member is stopped for 5 seconds while a configuration is published
    Then no action of the first member after it woke carries its old epoch
    And the first member acts again under a higher epoch within 10 seconds
    And the first member never went back to an older configuration and has the new one
