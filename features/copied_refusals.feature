Feature: A refusal counts only for the send that it answers

  # Guards against "not run, try again" for a request that a target runs, and against a
  # second run of it elsewhere, because a target wrote an earlier refusal once more.
  Scenario Outline: A refused send is not mixed up with another one by <copy>
    Given scripted targets that refuse a request and write <copy>
    When clients send requests one after the other on kept connections
    Then no client is told that its request has not run although it has
    And no request that may run once has run twice
    And each successful answer is the target's own, also the last one

    Examples: copies of a refusal
      | copy                                                 |
      | a copy directly behind it                            |
      | a copy without an id directly behind it              |
      | a copy on the idle connection                        |
      | a copy ahead of a later answer                       |
      | a copy without an id ahead of a later answer         |
      | an interim answer and a copy ahead of a later answer |
      | a copy behind the head of a later stream             |
      | a copy between the chunks of a later answer          |

    Examples: copies of a refusal that names another incarnation
      | copy                                                 |
      | a 421 directly behind it                             |
      | a 421 ahead of a later answer                        |
      | a 421 without an id ahead of a later answer          |

    Examples: heads and bodies that are not whole
      | copy                                                 |
      | a part of its head joined with a later head          |
      | a body longer than its length                        |
      | a body shorter than its length                       |

  # Guards against a run of an item that is given up because of a copied refusal, and
  # that the target makes in vain.
  Scenario: A copied refusal does not end the next run of an item
    Given scripted targets that refuse a request and write a copy ahead of a later answer
    When that item is sent to the same target until it is completed
    Then the item has run once, with the text of its events
