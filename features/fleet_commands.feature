Feature: Inspecting a deployment on the platform from the command line

  Background:
    Given a store with a configuration, targets, a daemon and two jobs

  # Guards against state that daemons act on but operators cannot see.
  Scenario Outline: The rows of the store are printed as a table or as JSON
    When an operator runs "endivevanectl fleet <command>" on the store
    Then it exits with 0 and prints <count> rows with "<text>"

    Examples:
      | command     | count | text          |
      | members     | 1     | front-1       |
      | targets     | 2     | 10.0.0.7:8080 |
      | routes      | 2     | /quote/       |
      | jobs        | 2     | front-1/ab    |
      | jobs --open | 1     | open          |
      | quarantines | 1     | p,s           |

  # Guards against invalid registrations that go unnoticed.
  Scenario: An invalid registration is listed with its problem
    When an operator runs "endivevanectl fleet targets" on the store
    Then the row of "t-bad" has a problem

  # Guards against errors that do not say what to do next.
  Scenario Outline: A command that fails says what to do next
    When an operator runs "endivevanectl fleet <command>"
    Then it exits with <code> and says "<text>"

    Examples:
      | command                       | code | text               |
      | jobs --store 127.0.0.1:1      | 5    | does not answer    |
      | jobs --store nowhere          | 2    | parse_address      |
      | check                         | 2    | --settings         |
      | check --settings missing.toml | 3    | missing.toml       |
      | explain abc missing.log       | 1    | missing.log        |

  # Guards against explanations that omit what happened to the target.
  Scenario: A request is explained from the logs of several daemons
    Given logs of two daemons, with lines of other programs among them
    When an operator asks for an explanation of "r-1"
    Then it lists "target_dropped, request_ended" in this order, with their files
    When an operator asks for an explanation of "r-9"
    Then it exits with 1 and says "no line names r-9"

  # Guards against files that pass the check but that the daemons reject.
  Scenario: Settings and a configuration are checked as a daemon checks them
    When an operator checks the settings and the configuration of the test
    Then it exits with 0 and says "is valid"
    When an operator checks a configuration whose route names no service
    Then it exits with 3 and says "names no service"
