Feature: A target that closes in the middle of its answer's head has not answered

  # Guards against a 200 with an empty or short body, framed as whole, because a head that
  # was not complete was taken for one.
  Scenario Outline: A head that breaks off <where> brings no success
    Given heads of <framing> that break off <where>
    When clients request streams and whole responses, with 1 and 2 attempts allowed
    Then each answer is whole as its target meant it, or no success
    And each with 2 attempts is whole

    Examples:
      | framing  | where                      |
      | chunks   | after 9 bytes              |
      | chunks   | after 16 bytes             |
      | chunks   | after 40 bytes             |
      | chunks   | two bytes before its end   |
      | chunks   | one byte before its end    |
      | a length | after 9 bytes              |
      | a length | after 16 bytes             |
      | a length | after 40 bytes             |
      | a length | two bytes before its end   |
      | a length | one byte before its end    |

  # Guards against an item without text that counts as completed.
  Scenario Outline: An item is not completed by a head that breaks off <where>
    Given heads of chunks that break off <where>
    When an item's first run is answered so
    Then the item has the text of its events, once and in order

    Examples:
      | where                      |
      | after 40 bytes             |
      | one byte before its end    |
