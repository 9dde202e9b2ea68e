Feature: An item frees its slot however its run ends

  # Guards against a slot that stays taken for good, and an item that never runs again,
  # since its run was cancelled before its first step.
  Scenario: An item whose slot is taken back before its run has begun runs later
    Given 1 items on a route to lm-a
    When the first slot is taken back before its run has begun
    Then each item has a whole text of one service
    And no item holds a slot

  # Guards against a slot that stays taken for good at a target, since the job of its item
  # has ended in the moment in which the item got it.
  Scenario: A job that ends before the run of an item has begun frees the slot
    Given 1 items on a route to lm-a
    When the job ends before the run of its item has begun
    Then no item has run
    And no item holds a slot
