Feature: Reports of the stand-ins

  Routing, target selection and the counts of other scenarios depend on these reports.

  Scenario: Load reports lag
    Guards against a report that is always up to date, with which any routing works.
    Given a stand-in engine whose load reports lag 0.6 seconds
    When a caller opens the stream "first" of 2000 tokens
    Then the load report still shows 0 running requests
    And within 5 seconds the load report shows 1 running request
    And the report is at least 0.6 seconds old

  Scenario: Waiting requests start in the order of their arrival
    Guards against an engine that applies priorities of its own.
    Given a stand-in engine with 1 slot
    When a caller opens the stream "first" of 20 tokens
    And a batch sender opens the stream "second" of 2 tokens
    And a caller opens the stream "third" of 2 tokens
    Then all 3 streams end with the expected text
    And the runs have started in the order "first, second, third"
    And only the run "second" is recorded as batch work

  Scenario: Cache events have gaps
    Guards against a daemon that relies on a complete list of events.
    Given a stand-in engine that drops half of its cache events
    When 20 different long prompts are sent
    Then between 4 and 16 events can be read, in rising order
    And reading after the last event gives no event

  Scenario: Cached blocks can be copied to another engine
    Guards against an import that is accepted without effect.
    Given two stand-in engines
    When a long prompt is sent to the first engine
    And the blocks of the prompt are exported and imported into the second engine
    And the long prompt is sent to the second engine
    Then the run at the second engine found all full blocks cached

  Scenario: The weight store shares its rate among its readers
    Guards against loading many replicas concurrently at no cost.
    Given a weight store of 1000000 bytes a second with weights of 300000 bytes
    When 2 readers fetch weights at once
    Then both are complete after at least 0.55 seconds

  Scenario: An engine loads a model from the weight store
    Guards against a model that is offered before its weights are loaded.
    Given an engine that loads weights of 300000 bytes at 600000 bytes a second
    When the order "load_model" for "extra-lm" with fencing token 1 is sent
    Then the model "extra-lm" is offered after at least 0.45 seconds
    And the order is reported as in progress until then

  Scenario: An unstreamed request loses its connection after a number of tokens
    Guards against a run that continues for a caller that has lost its connection.
    Given a stand-in engine with 4 slots
    When the engine breaks the next stream after 7 tokens
    And a caller sends an unstreamed request for 200 tokens and gets no response
    Then within 5 seconds the record has 1 run, which is "cancelled"
