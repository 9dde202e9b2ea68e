Feature: Real daemons that were out of step join no streams of two versions

  # Guards against a daemon that was stopped, or cut off, while targets of a new version
  # joined, and that takes streams which began there for streams of the old version.
  Scenario Outline: A daemon that was <out> joins no streams of a version that joined
    Given two daemon processes before targets of v1 that have served for long
    When the second one is <out> while targets of v2 join
    And clients resume streams of the first daemon at the second <asked>
    Then no stream holds events of two versions
    And <rest>

    Examples:
      | out                                       | asked                      | rest                             |
      | stopped for seconds                       | before it goes on          | all streams are whole            |
      | stopped for seconds                       | right after it goes on     | all streams are whole            |
      | cut off from the store only               | while it is cut off        | all streams are whole            |
      | cut off from the store and the other one  | while it is cut off        | all resumed streams were refused |
      | cut off from the store and the other one  | right after it is back     | all streams are whole            |
