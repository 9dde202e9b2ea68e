Feature: A configuration of the daemons is checked before it is submitted

  # Guards against a check that finds fault with what daemons serve every day.
  Scenario: A sound configuration has no findings
    Given a configuration file without faults
    When an operator checks it
    Then it exits with 0 and says "no problems found"

  # Guards against entries that daemons refuse, replace by others or never use, and against
  # limits that can't be met, all of which show only under load.
  Scenario Outline: The rule <rule> is found
    Given a configuration file whose <key> is <value>
    When an operator checks it with JSON output
    Then it exits with <code>, and the only finding is <rule> at <place>

    Examples: form
      | key                    | value            | code | rule                       | place                  |
      | routes.0.priority      | "high"           | 3    | invalid_field              | routes[0].priority     |
      | routes.0.prefix        | "quote/"         | 3    | invalid_field              | routes[0].prefix       |
      | routes.0.goalMS        | 3                | 0    | unknown_field              | routes[0].goalMS       |
      | routes.0.kind          | "quick"          | 3    | invalid_kind               | routes[0].kind         |

    Examples: entries without effect
      | key                    | value            | code | rule                       | place                  |
      | routes.0.name          | "digest"         | 3    | duplicate_name             | routes[1].name         |
      | routes.0.prefix        | "/quote"         | 3    | prefix_without_slash       | routes[0].prefix       |
      | routes.2.prefix        | "/quote/"        | 3    | route_shadowed             | routes[2].prefix       |
      | routes.1.prefix        | "/quote/"        | 3    | batch_route_shadowed       | routes[1].prefix       |
      | routes.0.trafficSplit  | [{"service":"x"}] | 0   | split_ignored              | routes[0].trafficSplit |
      | routes.2.trafficSplit  | [{"service":"lm"},{"service":"plain"},{"service":"lm","weight":0}] | 0 | weight_zero | routes[2].trafficSplit |
      | routes.0.service       | "none"           | 0    | undeclared_service         | routes[0].service      |
      | services.2             | {"name":"old"}   | 0    | unused_service             | services[2]            |
      | tenants.0.apiKeys      | []               | 0    | organisation_without_keys  | tenants[0].apiKeys     |
      | tenants.0.apiKeys      | ["k-2-secret"]   | 3    | key_shared                 | tenants[1].apiKeys     |
      | tenants.0.apiKeys      | ["k-s","k-s"]    | 0    | key_repeated               | tenants[0].apiKeys     |

    Examples: limits
      | key                    | value            | code | rule                       | place                  |
      | tenants.0.ratePerS     | 0                | 3    | burst_without_rate         | tenants[0].burst       |
      | routes.0.goalMs        | 4000             | 3    | objective_above_timeout    | routes[0].goalMs       |
      | routes.0.timeoutMs     | 0                | 0    | timeout_zero               | routes[0].timeoutMs    |
      | routes.0.maxAttempts   | 0                | 3    | attempts_zero              | routes[0].maxAttempts  |
      | routes.1.retentionS    | 17               | 3    | retention_below_completion | routes[1].retentionS   |
      | limits.headerTimeoutMs | 15001            | 3    | header_timeout_above_idle  | limits.headerTimeoutMs |

  # Guards against values at the bounds that count as faults.
  Scenario Outline: A limit at its bound is none
    Given a configuration file whose <key> is <value>
    When an operator checks it
    Then it exits with 0 and says "no problems found"

    Examples:
      | key                    | value   |
      | routes.0.goalMs        | 3000    |
      | routes.1.retentionS    | 18      |
      | routes.1.retentionS    | 0       |
      | limits.headerTimeoutMs | 15000   |
      | routes.2.prefix        | "/quote/long/" |
      | routes.2.host          | "other.example" |

  # Guards against scripts that can't tell warnings from errors.
  Scenario: Warnings let a strict check fail
    Given a configuration file whose routes.0.timeoutMs is 0
    When an operator checks it with --strict
    Then it exits with 1 and prints "timeout_zero"

  # Guards against a quota that no large job ever fits into.
  Scenario Outline: The largest job is compared with the quota of batch routes
    Given a configuration file without faults
    When an operator checks it with --largest-job-tokens <tokens>
    Then it exits with <code> and prints "<text>"

    Examples:
      | tokens | code | text            |
      | 100000 | 0    |                 |
      | 100001 | 3    | quota_below_job |

  # Guards against tracebacks, and against errors whose place has to be searched for.
  Scenario Outline: <what> is a finding with its line
    Given a configuration file with the text <text>
    When an operator checks it with JSON output
    Then it exits with 3, and a finding is <rule> in line <line> that says "<message>"

    Examples:
      | what              | text                              | rule          | line | message        |
      | an empty file     |                                   | syntax        | 1    | missing        |
      | an open object    | {\n"version": 1,\n                | syntax        | 3    | name of a key  |
      | a lost comma      | {"version": 1\n"routes": []}      | syntax        | 2    | ','            |
      | an open text      | {\n"version": "x                  | syntax        | 2    | Unterminated   |
      | a key given twice | {"version":1,"routes":[],\n"services":[],\n"version":2} | duplicate_key | 3 | more than once |
      | another document  | []                                | invalid_field | 1    | an object      |
      | a missing key     | {"version": 1, "routes": []}      | invalid_field | 1    | required       |
      | no UTF-8          | {\n\xff}                          | syntax        | 2    | UTF-8          |
      | an odd name       | {"\x5cu001b[2J": 1,\n"version": "x"} | unknown_field | 1 | x1b[2J |
      | text behind it    | {}\n{}                            | syntax        | 2    | behind         |

  # Guards against a stack overflow.
  Scenario: A file that is nested too deeply is a finding
    Given a configuration file of 100000 opening brackets
    When an operator checks it with JSON output
    Then it exits with 3, and a finding is syntax in line 1 that says "nested"

  Scenario Outline: A file that can't be read, or a store that is silent, is an error
    Given a configuration file without faults
    When an operator checks <file> with <options>
    Then it exits with <code> and says "<text>"

    Examples:
      | file         | options                 | code | text            |
      | missing.json | --strict                | 3    | missing.json    |
      | .            | --strict                | 3    | directory       |
      | config.json  | --store 127.0.0.1:1     | 5    | does not answer |
      | config.json  | --store nowhere         | 2    | parse_address   |

  # Guards against changes that nobody meant, and against keys in terminals and logs.
  Scenario: Differences from the version in force are shown, without any key
    Given a store with a configuration, targets, a daemon and two jobs
    And the store's configuration has organisations
    And a configuration file that differs from the store's
    When an operator checks it against the store, as text and as JSON
    Then it exits with 0 and shows these differences
      | change  | entry              | field        | before | after |
      | removed | route digest       |              |        |       |
      | added   | route extra        |              |        |       |
      | changed | route quote        | timeoutMs    | 3000.0 | 2500.0 |
      | changed | organisation first | ratePerS     | 0.0    | 5.0   |
      | changed | organisation first | keys added   |        | 2     |
      | changed | organisation first | keys removed |        | 1     |
      | removed | organisation gone  |              |        |       |
      | changed | limits             | maxBodyBytes | 100000 | 200000 |
    And neither output contains a key

  # Guards against a change that daemons with the same version number never take.
  Scenario: A change without a newer version is a warning
    Given a store with a configuration, targets, a daemon and two jobs
    And a configuration file that has the store's version and another timeout
    When an operator checks it against the store, as text and as JSON
    Then it exits with 0 and prints "version_not_newer"

  # Guards against slots that no connection is left for.
  Scenario: Targets with more slots than their service accepts connections are found
    Given a store with a configuration, targets, a daemon and two jobs
    And a configuration file like the store's with 7 connections
    When an operator checks it against the store, as text and as JSON
    Then it exits with 3 and prints "streams_above_connections"

  # Guards against a check that fails, or says nothing, where the store's version is broken.
  Scenario: A version in force that can't be read is a warning
    Given a store with a configuration, targets, a daemon and two jobs
    And the store's configuration is no valid one
    And a configuration file like the store's with 50 connections
    When an operator checks it against the store, as text and as JSON
    Then it exits with 0 and prints "in_force_unreadable"
