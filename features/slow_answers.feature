Feature: Answers of the store that arrive slowly are not given up

  Scenario Outline: A copy is <made> although the answer takes 5 s to arrive
    # Guards against a daemon that gives up an answer whose bytes are still arriving and asks
    # for it again: on a link that is shared by many, none of them ever has it.
    Given a store with a row that takes 5 s to send
    When a daemon follows the table and <change>
    Then its copy has the row 9 s later
    And the store has sent the row at most 2 times

    Examples:
      | made    | change                     |
      | loaded  | the row is there before    |
      | updated | the row is written later   |

  Scenario: An answer that stops to arrive is given up
    # Guards against a follower that waits for good for an answer of which a part is there.
    Given a store that stops in the middle of each answer
    When a daemon follows the table and the row is there before
    Then it has asked at least 2 times 6 s later

  Scenario Outline: A daemon that starts learns of the others though the store <manner>
    # Guards against a daemon that gives up the rows of the others at the first late answer
    # and reads all tables over a link that is full, and against one that waits for a store
    # which says no.
    Given a store with the row of another daemon that <manner>
    When a daemon that starts loads the rows of the daemons
    Then it <knows> the other daemon after <most> s at most

    Examples:
      | manner                    | knows        | most |
      | is silent for 1 s         | knows        | 2.5  |
      | is sound                  | knows        | 1.0  |
      | refuses all calls         | doesn't know | 1.0  |
      | is silent                 | doesn't know | 3.0  |
