Feature: The coordination package can be embedded without the daemon

  Scenario: The example of the documentation runs
    Guards against an example that no longer matches the code.
    When the example of docs/coordination.md runs
    Then it prints "stored outcome: {'status': 200}"
    And it prints "retries allowed after 200 requests:"

  Scenario: The coordination package imports nothing from the daemon
    Guards against imports that make the package unusable elsewhere.
    When "endivevane.coordination" is imported with all its modules
    Then no other package of endivevane is loaded
