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
      | can't read the new plan                | not knowing | while it is out       | each stream is whole or refused   |

  # Guards against the same where a version leaves: streams that began at the one that is
  # left, and that the daemon takes for streams of the other.
  Scenario: A daemon that is out of step joins no stream while a version leaves
    Given two daemons before targets a v1, b v1, d v2, e v2 that have served for long
    When the second daemon is refused by the store while targets of v2 leave, not knowing them
    And 20 clients leave streams of the first daemon, and resume them at the second while it is out
    Then no stream holds events of two versions
    And all resumed streams were refused

  # Guards against streams that begin by a plan that the others hold to be long over: at a
  # daemon whose side of a cut has no store, or that goes on after it stood still and takes
  # heartbeats that have waited for news.
  Scenario Outline: A daemon with plans of a minute ago that hears <heard> of 4 others <when> begins <begun>
    Given two daemons before targets a v1, b v1 that have served for long
    When the second daemon stood still for 60 s, has lost the store and hears <heard> of 4 others
    Then of 10 new streams <when> it begins <begun>

    Examples:
      | heard | when             | begun |
      | 1     | 3 s later        | none  |
      | 3     | 3 s later        | all   |
      | 3     | 7 quiet s later  | all   |
      | 3     | in the moment    | none  |

  # Guards against a clock that stops with the VM: the writer of a plan then takes epochs for
  # over that were in force until now.
  Scenario: The store's clock goes on while the VM is suspended
    Given a daemon that has the time of the store
    When its VM is suspended for 60 s
    Then it tells a time of the store 60 s later

  # Guards against a daemon that writes plans from old targets, which the others write back:
  # versions change hands several times a second, and the history of the plan runs over.
  Scenario: A daemon with old targets leaves the plan to the others
    Given two daemons before targets a v1, b v1 that have served for long
    When targets of v2 join, and the second daemon has not read its targets for 5 s
    Then the plan was written at most once a target in the 3 s after, and has v2

  # Guards against a 404, which clients don't repeat, for a route that was added while the
  # daemon was out of step: another daemon has it.
  Scenario Outline: A request without a route is answered <status> by a configuration of <age> s ago
    Given a daemon whose configuration is known to be current as of <age> s ago
    When a client asks for a path without a route
    Then the client is told <status>, <when>

    Examples:
      | age | status | when                |
      | 3   | 404    | for good            |
      | 5   | 503    | to come back soon   |
