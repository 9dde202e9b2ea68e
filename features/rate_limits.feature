Feature: Targets get no more requests than the limit that they name

  # Guards against a limit for all daemons together that no daemon reads, or that each keeps
  # for itself alone.
  Scenario: Targets that name a limit get no more from all daemons together
    Given a store, 3 targets and 3 daemons
    And targets that name a limit of 2 requests a second
    When for 9 s every daemon gets 8 requests a second
    Then from 1 s after it first named it no target has got more than 10 requests in 4 s
    And at least 4 requests a second were served

  # Guards against a daemon that issues tokens alone, is gone, and takes the targets with it,
  # or a successor that issues as many again.
  Scenario: The limit holds while daemons are killed and started again
    Given a store, 3 targets and 3 daemons
    And targets that name a limit of 2 requests a second
    When for 12 s every daemon gets 8 requests a second, and each in turn is killed and started
    Then from 1 s after it first named it no target has got more than 17 requests in 4 s
    And at least 4 requests a second were served

  # Guards against a limit that is kept too strictly, so that parts of it lie idle, or that is
  # exceeded by a daemon that has just begun to issue.
  Scenario Outline: A daemon issues what the limit allows in each window, and no more
    Given a daemon that issues the tokens of a target with a limit of <limit> a second
    When for 40 s it is always asked for more
    Then it issues at most <window> tokens in 4 s
    And it issues between <least> and <most> tokens in all

    Examples:
      | limit | window | least | most |
      | 0     | 1      | 4     | 5    |
      | 0.05  | 1      | 4     | 5    |
      | 0.3   | 2      | 12    | 13   |
      | 1     | 4      | 40    | 41   |
      | 2.3   | 10     | 91    | 93   |
      | 3.3   | 14     | 131   | 133  |
      | 50    | 200    | 1999  | 2001 |

  # Guards against places that go to whoever asks first, and items that are never placed.
  Scenario Outline: Tokens go to those that need them most
    Given a daemon that issues the tokens of a target with a limit of 1 a second
    When it is asked by <asked>
    Then the tokens go to <order>

    Examples:
      | asked                                    | order      |
      | a:item:0:9 b:waiting:0:0.3               | b, a       |
      | a:waiting:1:0.1 b:waiting:0:0.3          | b, a       |
      | a:waiting:0:0.3 b:waiting:0:0.2          | b, a       |
      | a:late:0:-1 b:item:0:9 c:waiting:0:0.3   | c, b, a    |
      | a:waiting:0:0.1 b:urgent_item:0:2        | b, a       |

  # Guards against an old answer that comes late, or that of an earlier run, and ends a limit.
  Scenario Outline: Of two answers the one to the later request counts
    Given a daemon before a target
    When it reads the answers <answers>
    Then it believes a limit of <limit>

    Examples: an answer is SENT@LIMIT, in the order of arrival
      | answers             | limit |
      | 1@2                 | 2     |
      | 1@none              | none  |
      | 1@2 2@none          | none  |
      | 2@2 1@none          | 2     |
      | 1@2 3@none 2@2      | none  |
      | 1@2 2@1             | 1     |
      | 2@1 1@2             | 1     |
      | 1@2 2@0             | 0     |
      | 1@2 2@unusable      | 2     |
      | 1@1e12              | none  |
      | 1@2 2@1e12          | none  |
      | 1@unusable          | none  |

    Examples: after a pause of the process any answer is newer
      | answers             | limit |
      | 9@2 pause 1@none    | none  |

    Examples: a run of the target that has ended names no limit of the next one
      | answers             | limit |
      | 1@2 restart         | none  |
      | 1@2 restart 2@old:1 | none  |
      | 1@2 restart 2@3     | 3     |

  # Guards against headers that are no number.
  Scenario Outline: What a response says of a limit
    When a response names the limit "<text>"
    Then it says <meaning>

    Examples:
      | text | meaning        |
      | 2.5  | 2.5 a second   |
      | 0    | 0.0 a second   |
      | nan  | nothing usable |
      | inf  | nothing usable |
      | -1   | nothing usable |
      | many | nothing usable |

  # Guards against shares that add up to more than the limit, or that lie idle at daemons that
  # have no use for them, with 9 daemons, in a coordinator's region, and with 340.
  Scenario Outline: All daemons together use the limit and keep it
    Given <near> daemons in one region and <far> in another before limited targets, of whose datagrams <lost>% are lost
    When <busy> of the daemons that choose targets always have requests waiting for 8 s
    Then no target has got more than its limit in 4 s, and a request more
    And the targets have got at least <used>% of their limits
    And a daemon has sent at most 3000 bytes a second, on average

    Examples:
      | near | far | lost | busy | used |
      | 5    | 4   | 0    | all  | 85   |
      | 5    | 4   | 20   | all  | 70   |
      | 5    | 4   | 0    | 1    | 85   |
      | 40   | 31  | 0    | all  | 85   |
      | 170  | 170 | 0    | all  | 85   |

  # Guards against a rate that is lost, or issued twice, when the daemon that issues it goes.
  Scenario Outline: The daemon that issues the tokens <event>
    Given <near> daemons in one region and <far> in another before limited targets, of whose datagrams 0% are lost
    When all of the daemons that choose targets have requests waiting, and after 4 s the issuer of a region <event>
    Then no target has got more than 1.5 times its limit and 5 requests in 4 s
    And in the last 3 s the targets of that region have got at least 60% of their limits

    Examples:
      | near | far | event                             |
      | 5    | 4   | is killed                         |
      | 5    | 4   | is killed and starts a second later |
      | 5    | 4   | stops as planned                  |

  # Guards against a limit that is believed after the target has stopped naming it, and against
  # a daemon that starts without it.
  Scenario: News of a limit and of its end reach all daemons that choose
    Given 5 daemons in one region and 4 in another before limited targets, of whose datagrams 20% are lost
    When one daemon reads the limits
    Then within 3 s all daemons that choose know them
    When a daemon starts again
    Then within 3 s all daemons that choose know them
    When the targets stop naming limits, and one daemon reads that
    Then within 3 s no daemon that chooses believes a limit

  # Guards against a region that holds back, or sends more, while it is cut off.
  Scenario: Regions that lose each other keep the limits of the targets that they reach
    Given 5 daemons in one region and 4 in another before limited targets, of whose datagrams 0% are lost
    When the regions can't reach each other, and all of the daemons that choose targets have requests waiting for 8 s
    Then no target has got more than its limit in 4 s, and a request more
    And the targets have got at least 85% of their limits

  # Guards against items that are cut for online requests and count against the limit again.
  Scenario: Items are not preempted on a target with a limit
    Given a daemon that has 3 items and 6 online requests on a target of 8 slots
    Then 1 item is preempted
    When the target names a limit of 2 requests a second
    Then no item is preempted

  # Guards against clients that return while nothing has come back, and lose their only retry.
  Scenario: A client refused for lack of tokens returns when the window has moved on
    Given a daemon before one target of 8 slots
    When the target names a limit of 2 requests a second
    And 3 requests come that may return and be late otherwise
    Then the last is refused, to return after 0.9 to 1.7 s

  # Guards against late requests of one daemon that take what timely ones of another wait for.
  Scenario: A late request leaves its place to timely ones of another daemon
    Given a daemon before one target of 8 slots
    When the target names a limit of 2 requests a second
    And another daemon reports 2 timely requests that wait, and a late one waits here
    Then the late one is granted no slot while they wait
    And it is granted a slot once they do not

  # Guards against requests that are held to their deadline although nothing is left for them.
  Scenario: A late request that goes on leaving its place is refused
    Given a daemon before one target of 8 slots
    When the target names a limit of 2 requests a second
    And another daemon reports 2 timely requests that wait, and a late one waits here
    Then it is refused between 0.4 and 0.8 s later

  # Guards against requests with a suspect segment that wait for tokens of the one target that
  # they may go to, while another target takes them at once.
  Scenario: Requests with a suspect segment go to a target without a limit
    Given 2 targets behind a daemon with a resumable route
    And the target that "p" would go to names a limit of 0 a second
    When the daemon hears that another target has ended under "p", and 6 requests with "p" come
    Then the other target has run all of them

  # Guards against targets whose limits lie idle since a request for a token names only some.
  Scenario: The limits of more targets than one datagram holds are used
    Given 5 daemons in one region and 0 in another before 40 targets that name 0.5 a second
    When all of the daemons that choose targets always have requests waiting for 8 s
    Then no target has got more than its limit in 4 s, and a request more
    And the targets have got at least 85% of their limits

  # Guards against news and state that grow with all limits that there ever were.
  Scenario: A limit that has ended is forgotten after a while
    Given a daemon before a target
    When it reads the answers 1@2 2@none
    Then it has nothing to tell of the target 10 s later

  # Guards against an issuer that is passed over, and regions that are asked in vain, for a
  # request that was wanted long ago.
  Scenario: A request for a token that is no longer wanted proves nothing
    Given a daemon that asks "a" for tokens, else "b", and hears nothing of either
    When it needs a token for an online request at 0 s, and again at 10 s
    Then it has asked a, a, and its region has not been waited for
    When it needs a token at 10.1, 10.2, 10.3, 10.4 and 10.5 s too
    Then it has asked b last, and its region has been waited for

  # Guards against timely requests whose need is not told since an earlier one was as urgent.
  Scenario: A more urgent need is told at once
    Given a daemon that asks "a" for tokens, else "b", and hears nothing of either
    When it needs tokens at 0 s for waiting, at 0.07 s for late, and at 0.08 s for waiting
    Then it has told waiting, late, waiting
