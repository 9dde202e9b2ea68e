Feature: Guarantees hold while faults of all kinds overlap

  # Guards against violations that only some sequences of faults cause. Run more seeds
  # by hand with make soak.
  Scenario Outline: A short soak test with a fixed seed violates no guarantee
    When the soak test runs seed <seed> with 8 s of faults
    Then no guarantee is violated and at least 30 streams and 1 job were served

    Examples:
      | seed |
      | 1    |
      | 2    |

    # Regression seeds: 404 for a job that another daemon had accepted up to 0.2 s
    # before, since the store returned stale rows.
    Examples:
      | seed |
      | 11   |
      | 16   |
      | 21   |
      | 47   |

  # Guards against jobs that lie unfinished, and answers that are mixed or wrong about what has
  # run, while targets crash on a prompt segment and name limits that change.
  Scenario Outline: A short soak test with troubled targets violates no guarantee
    When the soak test runs seed <seed> with 8 s of faults and troubled targets
    Then no guarantee is violated and at least 10 streams and 1 job were served

    Examples:
      | seed |
      | 101  |
      | 102  |

  # Guards against ending requests because a sound target is silent for a while, alone or
  # beside changes of the configuration, reloads and stops of daemons.
  Scenario Outline: A short soak test with silences of sound targets ends no request
    When the soak test runs seed <seed> with 8 s of silences of sound targets
    Then no guarantee is violated and at least 30 streams and 1 job were served

    Examples:
      | seed |
      | 201  |

  # Guards against streams and items that are joined from two software versions, over the
  # tries of their clients too, while targets are replaced by other versions and daemons
  # are killed, also all of them at once.
  Scenario Outline: A short soak test with releases joins no two versions
    When the soak test runs seed <seed> with 8 s of faults and releases
    Then no guarantee is violated and at least 15 streams and 1 job were served
    And clients have resumed streams

    Examples:
      | seed |
      | 301  |

  # Guards against daemons that apply a large configuration late or go back to an older
  # one, and against results of jobs that are missing at another daemon, while the
  # operator changes the configuration in bursts.
  Scenario Outline: A short soak test with changes of a large configuration
    When the soak test runs seed <seed> with 18 s of faults and configuration changes
    Then no guarantee is violated and at least 100 streams and 1 job were served

    Examples:
      | seed |
      | 402  |

  # Guards against a second process of a daemon that no later fault reaches and that
  # outlives the test, when a stop and a kill of the same daemon overlap.
  Scenario: Overlapping stops in the soak test leave no daemon behind
    When a stop and a kill of the same daemon overlap in the soak test
    Then no daemon is left after its end

  # Guards against a soak that passes although one of its daemons has not run.
  Scenario: The soak test reports a daemon that has ended by itself
    When a daemon of the soak test ends by itself
    Then one guarantee is violated, which names the daemon
