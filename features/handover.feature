Feature: A long prompt may be computed by a prefill engine

  A prefill engine computes prompts of at least the configured length, and their KV cache
  is copied to the engine that generates the output.

  Scenario: Only prompts that benefit are handed over
    Guards against handovers of short or cached prompts, and across regions.
    Given a scheduler with 2 decode engines and a prefill engine in its region, handover from 2048 bytes
    Then a prompt of 2048 bytes goes to a decode engine over the near prefill engine
    And a prompt of 1792 bytes goes to a decode engine directly
    And the prompt of 2048 bytes sent again goes to a decode engine directly
    And a prompt of 2048 bytes whose first attempt fails is sent again directly
    When the near prefill engine reports the role "both"
    Then another prompt of 2048 bytes is not handed over

  Scenario: A prompt that crashes engines crashes two of them during handovers
    Guards against a prompt that crashes prefill engines without being counted.
    Given a fleet of 1 daemon and 4 engines of which one is for prefill, handover from 2048 bytes
    When each engine crashes on a prompt of 8192 bytes that is sent 3 times
    Then it was never answered and 2 engines have crashed, the prefill engine among them

  Scenario Outline: A request survives an engine failure during its handover
    Guards against a request that is lost, completed twice or answered wrongly when a
    step fails. The time limit is twice the sum of the 1 s limit of a step and the 1 s
    limit of the handover, since test machines are shared.
    Given a fleet of 1 daemon and 4 engines of which one is for prefill, handover from 2048 bytes
    When a prompt of 8192 bytes is answered within 4 seconds
    Then the prefill engine ran it with one token and the other engine had it cached
    When the <engine> fails at the <step> of the next prompt
    Then a prompt of 8192 bytes is answered within 4 seconds
    And exactly one engine has finished it and <deaths> crashed

    Examples:
      | engine         | step    | deaths |
      | prefill engine | export  | 1      |
      | other engine   | import  | 1      |
      | prefill engine | silence | 0      |
