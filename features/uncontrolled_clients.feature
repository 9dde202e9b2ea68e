Feature: Clients that nobody controls neither end a daemon nor shut out others

  # Guards against a daemon that runs out of memory or of descriptors, or stands still,
  # because of what clients send, leave unsent or leave unread.
  Scenario Outline: A daemon bears <count> clients that send <behaviour> to <place>
    Given a daemon with a quarter of the smallest VM
    When <count> clients send <behaviour> to <place>
    Then the daemon's process lives
    And an ordinary request gets its target's response while they stay
    And the daemon's memory and descriptors stayed within their bounds
    And an ordinary request gets its target's response when they have left

    Examples:
      | count | behaviour                 | place             |
      | 100   | whole bodies              | a route           |
      | 100   | whole bodies              | no route          |
      | 100   | whole bodies              | the internal port |
      | 100   | bodies in small pieces    | a route           |
      | 100   | bodies in small pieces    | readiness         |
      | 100   | chunks without their end  | a route           |
      | 100   | chunks without their end  | calls on jobs     |
      | 100   | chunks without their end  | the internal port |
      | 100   | chunks of one byte        | a route           |
      | 100   | chunks of one byte        | metrics           |
      | 100   | bodies far over the limit | a route           |
      | 100   | bodies far over the limit | the internal port |
      | 300   | many short fields         | a route           |
      | 300   | many short fields         | no route          |
      | 300   | many short fields         | readiness         |
      | 100   | requests ahead            | a route           |
      | 100   | requests ahead            | no route          |
      | 100   | requests ahead            | readiness         |
      | 100   | requests ahead            | metrics           |
      | 600   | heads byte by byte        | a route           |
      | 600   | heads byte by byte        | readiness         |
      | 600   | heads byte by byte        | the internal port |
      | 600   | heads byte by byte        | metrics           |
      | 600   | nothing                   | a route           |
      | 600   | nothing                   | readiness         |
      | 600   | nothing                   | the internal port |
      | 600   | nothing                   | metrics           |
      | 100   | requests and read slowly  | large responses   |
      | 300   | requests and read slowly  | a route           |
      | 300   | requests and read slowly  | metrics           |
      | 100   | half requests             | a route           |
      | 100   | half requests             | calls on jobs     |
      | 40    | jobs of short items       | job submissions   |
