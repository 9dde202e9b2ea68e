Feature: What else acts on a silent target

  # Guards against keeping work off a sound target because it counts as faulty after a
  # silence, here and at the daemons that learn of it.
  Scenario: A target that is silent for a while does not count as faulty
    Given 2 targets behind a daemon with a resumable route
    And targets whose events are far apart, with streams that are long enough
    When 12 clients stream while the first target is silent for 1.6 s
    Then the silent target is not counted as faulty

  # Guards against giving up or losing items whose target is silent meanwhile.
  Scenario: Items of a job outlive the silence of their targets
    Given a store, 2 targets and 2 daemons
    And targets whose items last longer than a silence
    When a job of 8 items is submitted to the first daemon
    Then it is accepted
    When the targets fall silent in turn for 1.8 s
    Then the second daemon lists 8 completed results within 12 s
    And no item is listed twice
