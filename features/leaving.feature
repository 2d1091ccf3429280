Feature: A leaving upstream or entry instance gets no new work

  Scenario Outline: Either report that a worker leaves takes it out of use
    Given an entry instance that owns two workers
    When a worker is reported as leaving by <signs>
    Then the instance may place tasks on <workers>

    Examples:
      | signs                                  | workers   |
      | no sign                                | w1 and w2 |
      | its own signal                         | w2        |
      | the instance list                      | w2        |
      | the instance list and then not its own | w2        |

  Scenario: A leaving instance waits for the slots that it has lent
    Given an entry instance that has lent 3 slots of a team to a peer
    When the leaving instance is asked for 2 more slots
    Then it has lent 3 slots and doesn't leave yet
    When the peer returns 3 slots to the leaving instance
    Then it has lent 0 slots and may leave

  Scenario: A leaving instance doesn't free lent slots for a team that may come back under its name
    Given an entry instance that has lent 3 slots of a team to a peer
    When the team is removed and the instance is asked to leave
    Then it has lent 3 slots and doesn't leave yet
    When the peer returns 3 slots to the leaving instance
    Then it has lent 0 slots and may leave
