Feature: Daemon processes serve all requests of targets that are silent for a while

  Background:
    Given a store, 2 targets and 2 daemons
    And routes for streams and whole responses, with one attempt and with two

  # Guards against ending requests because one of their targets is silent and goes on.
  Scenario: Requests outlive the silence of a target
    When a target of two falls silent for 0.8 s, then one for 1.3 s, then one for 1.8 s
    Then no request is cut or fails, and a refused one has not run

  # Guards against ending requests when no target can take them over.
  Scenario: Requests outlive the silence of all targets at once
    When all targets fall silent at once for 1.3 s and again for 1.8 s
    Then no request is cut or fails, and a refused one has not run

  # Guards against moving a request from a silent target, which goes on first, to one that
  # has fallen silent too, so that its client waits through both silences.
  Scenario: Requests outlive silences of two targets that overlap
    When a target falls silent for 1.6 s and, 0.6 s later, the other for 1.8 s
    Then no request is cut or fails, and a refused one has not run

  # Guards against ending requests whose route, service or limits change in a silence.
  Scenario: Requests outlive a silence beside a change of the configuration
    When targets fall silent for 1.3 or 1.8 s, each time beside another configuration
    Then no request is cut or fails, and a refused one has not run

  # Guards against a stop that ends requests whose target is silent meanwhile.
  Scenario: Requests outlive a silence beside the stop of their daemon
    When a target falls silent for 1.8 s and the first daemon gets SIGTERM
    Then no request is cut or fails, and a refused one has not run
    And the first daemon exits with status 0

  # Guards against ending requests of a target that is silent when its entry is removed.
  Scenario: Requests outlive a silence of a draining target that is replaced
    When a draining target falls silent for 1.8 s while it is replaced
    Then no request is cut or fails, and a refused one has not run

  # Guards against new settings that end requests whose target is silent meanwhile.
  Scenario: Requests outlive a silence beside a reload of the settings
    When targets fall silent for 1.3 and 1.8 s, each time beside a SIGHUP of the daemons
    Then no request is cut or fails, and a refused one has not run
