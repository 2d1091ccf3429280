Feature: Service under scarcity
  Late jobs wait for a bounded time, and operators see who is served within the objective.

  Scenario Outline: A late job waits for a bounded time beside endless work in time
    Given a worker that is always full of work in time
    When <count> late jobs wait and it is played in this order and in the former one
    Then all of them start within <limit> s and in the former order none does

    Examples:
      | count | limit |
      | 1     | 25    |
      | 3     | 30    |

  Scenario: Late jobs don't take the capacity of those that can be in time
    Given a worker that is always full of work in time
    When 10 late jobs of over 20 s wait until all have had their turn
    Then at least as many jobs in time have started

  Scenario: A late job that fits nowhere does not keep the turn from another
    Given a worker that is always full of work in time
    When a late job larger than the worker waits before another late one
    Then the other starts within 30 s

  Scenario: The shares of teams are those of the last 10 s
    Given a team with 1 of 4 jobs in time and one with all, of which 2 ended 11 s ago
    Then their shares are 0.25 and 1.0
    And a successor that has seen no job end gives none

  Scenario: The turn of a queue that has moved to another pool is forgotten
    Given a late job whose queue moves from one pool to another
    When 3 seconds have passed
    Then only the other pool has a turn

  Scenario Outline: A reading that visits many jobs is made less often
    When there are <count> jobs
    Then a reading of them is used for <age> s

    Examples:
      | count | age  |
      | 500   | 0.25 |
      | 20000 | 10.0 |
