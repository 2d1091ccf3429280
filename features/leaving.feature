Feature: A leaving upstream gets no new work

  Scenario Outline: Either sign of leaving keeps a worker out of use
    Given an entry instance that holds two workers
    When the worker is leaving by <signs>
    Then the instance may place on <workers>

    Examples:
      | signs                                  | workers   |
      | no sign                                | w1 and w2 |
      | its own signal                         | w2        |
      | the instance list                      | w2        |
      | the instance list and then not its own | w2        |
