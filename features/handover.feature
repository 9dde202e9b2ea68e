Feature: A long prompt may run on a prefill engine

  With a prompt of at least the configured length a prefill engine computes it, and its
  KV cache goes to the engine that generates the answer.

  Scenario: Only what pays is handed over
    Guards against hand-overs of short or cached prompts, and of those for another region.
    Given a scheduler with 2 decode engines and a prefill engine in its region, hand-over from 2048 bytes
    Then a prompt of 2048 bytes goes to a decode engine over the near prefill engine
    And a prompt of 1792 bytes goes to a decode engine directly
    And the prompt of 2048 bytes once more goes to a decode engine directly
    And a prompt of 2048 bytes whose first attempt fails is sent again directly
    When the near prefill engine reports the role "both"
    Then another prompt of 2048 bytes is not handed over

  Scenario: A prompt that kills engines kills two of them with a hand-over
    Guards against a prompt that kills prefill engines without being counted.
    Given a fleet of 1 daemon and 4 engines of which one is for prefill, hand-over from 2048 bytes
    When each engine dies of a prompt of 8192 bytes that is sent 3 times
    Then it was never answered and 2 engines have died, the prefill engine among them

  Scenario Outline: An engine that fails during a hand-over delays and loses nothing
    Guards against a request that is lost, run twice to the end or answered wrongly when
    a step fails. The limit of an answer is twice the second of a step and the second
    for all, since machines are shared.
    Given a fleet of 1 daemon and 4 engines of which one is for prefill, hand-over from 2048 bytes
    When a prompt of 8192 bytes is answered within 4 seconds
    Then the prefill engine ran it with one token and the other engine had it cached
    When the <engine> fails at the <step> of the next prompt
    Then a prompt of 8192 bytes is answered within 4 seconds
    And exactly one engine has finished it and <deaths> died

    Examples:
      | engine         | step    | deaths |
      | prefill engine | export  | 1      |
      | other engine   | import  | 1      |
      | prefill engine | silence | 0      |
