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

  Scenario: A worker that is removed and known again at once is read
    When a worker is removed and known again before the next scheduling pass
    Then the leader reads its lists again

  # Guards against TWICE: the ends that are not read yet may have a subtask as done.
  Scenario: A worker that left the list is not taken for empty before its ends are read
    When a worker leaves the list before all of its ends were read
    Then the leader still waits for them
