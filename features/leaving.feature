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

  Scenario: An instance that leaves waits for the slots that it lent
    Given an entry instance that has lent 3 slots of a team to a peer
    When the leaving instance is asked for 2 more slots
    Then it has lent 3 slots and doesn't leave yet
    When the peer gives 3 slots back to the leaving instance
    Then it has lent 0 slots and may leave
