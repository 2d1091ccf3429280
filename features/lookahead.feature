Feature: Placement that looks ahead
  A large subtask that fits nowhere, though the pool's gaps would hold it, has room kept on
  the worker where it is expected to start first. Less urgent work may use that room only
  if it leaves it in time.

  Scenario: The bounds of a run time hold most run times
    When a queue has learned run times whose estimates are off by two
    Then of the next 400 run times between 70 and 90 of 100 lie within the bounds

  Scenario: The progress of a run corrects its forecast
    Given a scheduler with 1 worker of 8 cores
    And the queue's subtasks have taken 4 seconds
    And a subtask of 6 cores runs for 1 second and goes from 10 to 60 percent
    Then its worker is expected to have 8 cores free in 0.8 seconds

  Scenario Outline: The end of a run is not foreseen
    Given a scheduler with 1 worker of 8 cores
    And the queue's subtasks have taken 1 second
    And a subtask of 6 cores runs that <fact>
    Then its worker is not expected to have 8 cores free

    Examples: facts
      | fact                           |
      | is long-running                |
      | is slowed down                 |
      | has taken three times as long  |

  Scenario: The end of a run that is being stopped is foreseen
    Given a scheduler with 1 worker of 8 cores
    And the queue's subtasks have taken 1 second
    And a subtask of 6 cores runs that is being stopped
    Then its worker is expected to have 8 cores free in 0.4 seconds

  Scenario: The worker that empties first is kept at once
    Given a large subtask that fits on none of 3 workers, of which w0 empties first
    Then the room on w0 is kept for it, and its job's report says so
    When w0 has emptied
    Then it starts there, and the kept start counts as used

  Scenario Outline: Less urgent work beside a kept start
    Given a large subtask that fits on none of 3 workers, of which w0 empties first
    When 3 subtasks of <cores> cores that take <time> seconds are ready, each for another worker
    Then <started> of them start

    Examples: work
      | cores | time | started |
      | 4     | 0.2  | 3       |
      | 4     | 3.0  | 2       |
      | 1     | 3.0  | 3       |

  Scenario: Work that is kept back is let in after a moment
    Given a large subtask that fits on none of 3 workers, of which w0 empties first
    When 3 subtasks of 4 cores that take 3.0 seconds are ready, each for another worker
    Then 2 of them start
    And the last of them starts after 0.5 seconds though no worker has emptied

  Scenario: More urgent work uses kept room
    Given a large subtask that fits on none of 3 workers, of which w0 empties first
    When 3 more urgent subtasks of 4 cores that take 3.0 seconds are ready, each for another worker
    Then 3 of them start

  Scenario: The worker with the kept start crashes
    Given a large subtask that fits on none of 3 workers, of which w0 empties first
    When w0 is lost
    Then room on another worker is kept for it

  Scenario: Nothing is kept beyond the limit for runs that overstay
    Given a large subtask that fits on none of 3 workers, of which w0 empties first
    When no run ends for 4 seconds
    Then no room is kept for it, and the kept start counts as not foreseen

  Scenario: Nothing is kept while the gaps would not hold all that waits before
    Given a large subtask that fits on none of 3 workers, of which w0 empties first
    When 2 long-running subtasks of 6 cores fit nowhere either
    Then no room is kept for it, and the kept start counts as not foreseen

  Scenario: The limit of a reservation goes on while room is kept instead
    Given a scheduler with 3 workers of 8 cores
    And each worker runs a subtask of 3 cores and a subtask of 8 cores is blocked
    When a pass keeps room and needs no reservation
    Then the reservation's limit goes on, until a pass keeps nothing

  Scenario: A wide step that fits nowhere costs a pass little
    Given a scheduler with 1 worker of 8 cores
    When a step of 1000 subtasks of a team without limits fits nowhere
    Then the pass makes at most 30 checks of limits and 100 sums

  Scenario: The members of a gang have their rooms kept together
    Given a gang of 2 members of 7 cores that fits once w0 has emptied, and w1 after it
    Then both rooms are kept from the time when w1 has emptied

  Scenario: Without work that fits nowhere the choices are as without look-ahead
    When a load of 15 small jobs a second is placed with and without look-ahead
    Then each subtask has started on the same worker

  Scenario: Large jobs wait less where the pool has room, and small ones hardly longer
    When a load of 45 jobs a second is placed with and without look-ahead
    Then all jobs are completed both ways, and as many within their objective
    And the wait at 95 of 100 of the large ones is at most 0.8 times as long
    And the wait at 95 of 100 of the small ones is at most 1.1 times as long and 0.1 s more
    And half of either start as soon

  Scenario: Nobody pays while the pool is overloaded by turns
    When a load of 52 jobs a second is placed with and without look-ahead
    Then all jobs are completed both ways, and as many within their objective but for 1 in 100
    And the wait at 95 of 100 of the large ones is at most 1.0 times as long
    And the wait at 95 of 100 of the small ones is at most 1.1 times as long and 0.1 s more
