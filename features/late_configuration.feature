Feature: Batch items do not fail while a daemon does not know their model

  Scenario Outline: A job's model that is missing from the configuration
    # Guards against accepted items that fail permanently because a daemon has just
    # started or lacks the newest revision, or because a document was removed by mistake.
    Given a runner that starts with <first> and a job of 60 items
    When the configuration with the model is in force after 1 second
    Then the job completes with 60 items done and 0 failed

    Examples:
      | first                           |
      | no configuration                |
      | a configuration without a model |
