Feature: Batch chunks are committed exactly once despite store faults

  Scenario: Claims, commits, cancels and finishes hold under every store fault
    # Guards against a chunk that is committed twice, a result that is added after an
    # acknowledged cancel, a job that is completed too early, and a second job row.
    When the batch protocol is fuzzed with seed 20261204 for at least 1000 steps
    Then no step broke an invariant
    And every outcome of claim, commit, cancel and finish was reached

  Scenario: Fuzzing finds the double commit when commits are not fenced
    # Guards against an oracle that misses a commit by a replaced owner.
    When the batch protocol without the fence is fuzzed with seed 20261204
    Then the fuzzing reports a chunk that was written after it was final

  Scenario: Runners complete a job despite store faults, expired leases and crashes
    # Guards against a chunk that no runner takes over after a lost response, an expired
    # lease or a crash, and against two commits of one chunk.
    When 3 runners work on 12000 items while 0.2 of the store's calls fail, with seed 77
    Then the job has ended and every chunk was committed once
    And every item has one result

  Scenario: A cancel is acknowledged after the last item has left its daemon
    # Guards against items that a thread was about to send when the job was cancelled.
    Given 2 runners without faults whose sends take 0.3 seconds
    When their job of 600 items is cancelled while items are being sent
    Then no send ended after the acknowledgement
