Feature: Looking at a deployment on the platform from the command line

  Background:
    Given a store with a configuration, targets, a daemon and two jobs

  # Guards against operators who can't see what the daemons go by.
  Scenario Outline: The rows of the store as a table or as JSON
    When an operator runs "endivevanectl fleet <command>" on the store
    Then it ends with 0 and prints <count> rows with "<text>"

    Examples:
      | command     | count | text          |
      | members     | 1     | front-1       |
      | targets     | 2     | 10.0.0.7:8080 |
      | routes      | 2     | /quote/       |
      | jobs        | 2     | front-1/ab    |
      | jobs --open | 1     | open          |

  # Guards against a registration that nobody uses and nobody sees.
  Scenario: A registration that can't be used says why
    When an operator runs "endivevanectl fleet targets" on the store
    Then the row of "t-bad" has a problem

  # Guards against an error that does not say what to do next.
  Scenario Outline: A command that can't be done says what to do next
    When an operator runs "endivevanectl fleet <command>"
    Then it ends with <code> and says "<text>"

    Examples:
      | command                       | code | text               |
      | jobs --store 127.0.0.1:1      | 5    | does not answer    |
      | jobs --store nowhere          | 2    | parse_address      |
      | check                         | 2    | --settings         |
      | check --settings missing.toml | 3    | missing.toml       |
      | explain abc missing.log       | 1    | missing.log        |

  # Guards against explanations that lack what became of the target.
  Scenario: A request is explained from the logs of several daemons
    Given logs of two daemons, with lines of other programs among them
    When an operator asks for an explanation of "r-1"
    Then it lists "target_dropped, request_ended" in this order, with their files
    When an operator asks for an explanation of "r-9"
    Then it ends with 1 and says "no line names r-9"

  # Guards against a file that the daemons refuse later.
  Scenario: Settings and a configuration are checked as a daemon does
    When an operator checks the settings and the configuration of the test
    Then it ends with 0 and says "is valid"
    When an operator checks a configuration whose route names no service
    Then it ends with 3 and says "names no service"
