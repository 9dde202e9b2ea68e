Feature: A daemon that is out of step with the store tells no version from an old plan

  # Guards against streams that began at new targets, through a daemon in step, and that
  # go on at another version, since the daemon that is asked has missed the new plan.
  Scenario Outline: A daemon that <loses> joins no stream, <knowing> new targets, <asked>
    Given two daemons before targets a v1, b v1 that have served for long
    When the second daemon <loses> while targets of v2 join, <knowing> them
    And 20 clients leave streams of the first daemon, and resume them at the second <asked>
    Then no stream holds events of two versions
    And <rest>

    Examples:
      | loses                                  | knowing     | asked                 | rest                              |
      | is refused by the store                | not knowing | while it is out       | all resumed streams were refused  |
      | is refused by the store                | knowing     | while it is out       | all resumed streams were refused  |
      | is refused by the store                | knowing     | once it is back       | all streams are whole             |
      | gets no answer from the store          | not knowing | while it is out       | all resumed streams were refused  |
      | gets no answer from the store          | knowing     | while it is out       | all resumed streams were refused  |
      | gets no answer from the store          | knowing     | once it is back       | all streams are whole             |
      | stands still before unread answers     | knowing     | in the moment it goes on | all streams are whole          |
      | reads a relay that has lost the store  | knowing     | while it is out       | all resumed streams were refused  |

  # Guards against the same where a version leaves: streams that began at the one that is
  # left, and that the daemon takes for streams of the other.
  Scenario: A daemon that is out of step joins no stream while a version leaves
    Given two daemons before targets a v1, b v1, d v2, e v2 that have served for long
    When the second daemon is refused by the store while targets of v2 leave, not knowing them
    And 20 clients leave streams of the first daemon, and resume them at the second while it is out
    Then no stream holds events of two versions
    And all resumed streams were refused
