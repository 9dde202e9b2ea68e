Feature: Calls on jobs reach the batch API whatever the prefixes of a host's routes

  # Guards against jobs that are accepted and can never be read or ended, since a prefix
  # that covers the paths of calls makes them requests of its route.
  Scenario Outline: A job is read and ended on a host with <routes>
    Given a host with <routes>
    When a client submits a job, reads its results and an item, and ends it
    Then the answers are 202, 200, 200 and 200, and the item's body came
    And no target has got any of these requests

    Examples:
      | routes                                                |
      | a batch route on /                                    |
      | a batch route on /api/                                |
      | a batch route on /api/lots/                           |
      | a batch route on /api/items/                          |
      | a batch route on /digest/ and an online route on /    |
      | a batch route on / and an online route on /api/       |
      | a batch route on / and an online route on /api/lots/  |
      | a batch route on / and an online route on /api/items/ |

  # Guards against a 404, or an answer of a target, for a job that another daemon has
  # just accepted.
  Scenario Outline: A daemon that does not know a job yet is asked for it
    Given a host with <routes>
    When a job is read and ended at a daemon that does not know it
    Then the answers are 200, 200 and 200, and the item's body came
    And no target has got any of these requests

    Examples:
      | routes                                             |
      | a batch route on /                                 |
      | a batch route on /digest/ and an online route on / |

  # Guards against jobs that are lost to their clients once their route is gone, or once
  # a new route covers the paths of calls.
  Scenario Outline: The routes change while a job is open
    Given a host with <routes>
    When a job is read and ended after the host has <others>
    Then the answers are 200, 200 and 200, and the item's body came
    And no target has got any of these requests

    Examples:
      | routes                                             | others                                             |
      | a batch route on /digest/                          | a batch route on /digest/ and an online route on / |
      | a batch route on /digest/                          | an online route on /                               |
      | a batch route on / and an online route on /quote/  | an online route on /quote/                         |
      | a batch route on /digest/ and an online route on / | an online route on /                               |

  # Guards against requests of a route that are taken for calls on jobs by their path
  # alone.
  Scenario Outline: <method> <path> is a request of its route
    Given a host with a batch route on /digest/ and an online route on /
    When a client calls <method> <path>
    Then a target has got it

    Examples:
      | method | path                      |
      | POST   | /api/lots/7c41e09b        |
      | PUT    | /api/lots/7c41e09b        |
      | POST   | /api/items/7c41e09b       |
      | DELETE | /api/items/7c41e09b       |
      | GET    | /api/lots/                |
      | GET    | /api/lots                 |
      | GET    | /api/lots/7c41e09b/text   |
      | GET    | /api/lots/7c41%2F9b       |
      | GET    | /other?then=/api/lots/7c4 |

  # Guards against a 404 for the requests of a host that has no jobs.
  Scenario: A host without jobs may use the paths of calls
    Given a host with an online route on /
    When a client calls GET /api/lots/7c41e09b
    Then a target has got it

  # Guards against jobs of another host that take a host's requests away.
  Scenario: A job of another host leaves the paths of a host alone
    Given a host with an online route on /
    And a job of another host
    When a client reads the results of that job
    Then a target has got it

  # Guards against submissions that are taken for calls.
  Scenario Outline: A job is submitted under the path of a call
    Given a host with a batch route on <prefix>
    When a client submits a job at <path>
    Then the job is stored and the answer is 202

    Examples:
      | prefix      | path                |
      | /           | /api/lots/7c41e09b  |
      | /           | /api/items/7c41e09b |
      | /api/lots/  | /api/lots/7c41e09b  |
      | /api/items/ | /api/items/7c41e09b |

  # Guards against calls with a wrong path that are accepted as jobs.
  Scenario Outline: <method> submits no job
    Given a host with a batch route on /
    When a client calls <method> /digest/7c41e09b with the body of a job
    Then the answer is 400 and the store holds no job

    Examples:
      | method |
      | GET    |
      | PUT    |
      | DELETE |

  # Guards against items that go to a service of another kind, which can't serve them and
  # leaves them open for ever, or that wait for it.
  Scenario Outline: The items of a job keep to the batch routes of its host
    Given a host with <routes>
    When a daemon runs a job of 3 items under /digest/ there
    Then all its items <end>

    Examples:
      | routes                                             | end                                             |
      | a batch route on / and an online route on /digest/ | have run at the service of the batch route      |
      | an online route on /                               | are listed as failed after the limit, none runs |
