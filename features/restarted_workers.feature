Feature: Workers that have restarted under their id, unnoticed
  A leader that reads their lists for the first time knows only of an earlier life.

  # Guards against TWICE: it took the lease that its predecessor gave to this life for over.
  Scenario: What runs on a worker that restarted before a takeover still counts
    Given a subtask runs on one of 2 workers as the leader changes
    When that worker had restarted before, and the new leader reads all of its lists
    Then the subtask still counts as running there, and starts nowhere else

  # Guards against TWICE: the start had given the new life a lease.
  Scenario: A start that a restarted worker has answered still counts
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When their worker restarts, answers another start, and is then read as restarted
    Then that start still counts before the lease is renewed
