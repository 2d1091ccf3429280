Feature: Runs that a leader presumes to be over while another may have been elected
  Without its lease a leader may be confirmed by a majority and have a successor all the
  same. That one may renew the lease of a worker, or have read the end of a run.

  # Guards against TWICE: the successor renewed the leases of workers that it reached.
  Scenario: A run on a worker that was lost is not repeated without the lease
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When the leader has no lease, and their worker is silent until its lease has expired
    Then nothing is repeated before the leader has its lease again

  Scenario: What a worker has lost as it restarted is repeated without the lease
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When the leader has no lease, and their worker restarts
    Then both subtasks start again

  Scenario: What a worker lists as ended is repeated without the lease
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When the leader has no lease, and their worker lists one as failed
    Then one subtask starts again

  Scenario: A start that was queued is not sent without the lease
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When their worker is lost without the lease, which ends again after the dispatch
    Then the starts may not be sent
