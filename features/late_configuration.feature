Feature: A daemon fails no batch item because it does not know the model yet

  Scenario Outline: A job's model that is missing from the configuration
    # Guards against accepted items that fail for good because a daemon has just started,
    # lacks the newest revision, or a document was removed by mistake.
    Given a runner that starts with <first> and a job of 60 items
    When the configuration with the model is in force after 1 second
    Then the job completes with 60 items done and 0 failed

    Examples:
      | first                           |
      | no configuration                |
      | a configuration without a model |
