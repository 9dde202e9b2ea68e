Feature: A session expires for its holder before it expires for observers

  Scenario Outline: Fuzzing finds no holder that acts outside its term
    # Guards against a term counted from the answer, an epoch that is reused, and an
    # observer that considers a valid epoch expired.
    When "<machine>" is fuzzed with 60 examples of 40 steps
    Then the fuzzing ran at least 1000 steps

    Examples:
      | machine      |
      | two holders  |
      | one holder   |

  Scenario Outline: The fuzzing rejects a broken holder
    # Guards against fuzzing that passes whatever the code does.
    Then the fuzzing rejects the broken "<machine>" within 60 examples

    Examples:
      | machine         |
      | late holder     |
      | reviving holder |

  Scenario Outline: What a daemon may still do when it can't renew
    # Guards against orders to engines, claims and calls without the lease or the store
    # that they need.
    Then "<action>" is <with lease> with a lease and an unavailable store, <without lease> without both, and <expired> with a store but no lease

    Examples:
      | action            | with lease | without lease | expired |
      | SERVE_ONLINE      | allowed    | allowed       | allowed |
      | RUN_CLAIMED_ITEM  | allowed    | allowed       | allowed |
      | COMMIT_CHUNK      | allowed    | allowed       | allowed |
      | CLAIM_CHUNK       | denied     | denied        | denied  |
      | SEND_ENGINE_ORDER | allowed    | denied        | denied  |
      | ACCEPT_JOB        | denied     | denied        | allowed |
      | CALL_AT_MOST_ONCE | denied     | denied        | allowed |

  Scenario: A new owner of an engine group waits for orders from the old one
    # Guards against an old order that an engine without fencing runs after a new one.
    Given an engine group owned by a daemon whose session has expired
    When another daemon acquires the group
    Then it may order engines that check fencing at once
    And it may order engines that ignore fencing only after the old term and the longest order
    And the fencing token is higher than the old one

  Scenario: An owner whose session expires sends no more orders
    # Guards against a daemon that continues as the owner after a pause.
    Given an engine group owned by a daemon whose session is valid
    When the owner is paused past its term
    Then it may not order any engine
    And it may not after it has a new epoch

  Scenario: A group whose owner renews its session can't be acquired
    # Guards against two owners at a time.
    Given an engine group owned by a daemon whose session is valid
    When the owner renews its session for a minute while another daemon observes it
    Then the other daemon may not acquire the group

  Scenario: A process that resumes after its lease expired does not use its old epoch
    # Guards against a holder that trusts a deadline which passed while it was stopped.
    Given a stand-in platform and 2 member processes with sessions of 2 seconds
    When the first member is stopped for 5 seconds while a configuration is published
    Then no action of the first member after it resumed carries its old epoch
    And the first member acts again under a higher epoch within 10 seconds
    And the first member never went back to an older configuration and has the new one
