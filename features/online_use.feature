Feature: Batch adapts to online use between two load reports

  Scenario Outline: Counts that a daemon tells correct a late report
    # Guards against batch that fills or keeps slots by a report that is a second old (P3).
    Given a report of <reported> online requests and 6 own items as of 1000 ms
    When a daemon reports <before> requests at 900 ms and <after> at 1400 ms
    Then of 20 slots <room> more may be used for batch at 1500 ms

    Examples:
      | reported | before | after | room |
      | 10       | 4      | 4     | 4    |
      | 10       | 4      | 7     | 1    |
      | 10       | 4      | 1     | 7    |
      | 10       | 4      | 10    | -2   |
      | 2        | 4      | 9     | 5    |

  Scenario: An unchanged count is included in later reports
    # Guards against requests that are counted twice permanently.
    Given a report of 10 online requests and 6 own items as of 20000 ms
    When a daemon reports 4 requests at 900 ms and 7 at 1400 ms
    Then of 20 slots 4 more may be used for batch at 20500 ms
