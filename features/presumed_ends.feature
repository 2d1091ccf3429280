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

  Scenario Outline: What a worker that was lost lists as ended is repeated without the lease
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When the leader has no lease, and their worker is silent until its lease has expired
    And the worker lists both as <end> when it answers again
    Then both subtasks start again

    Examples: ends
      | end     |
      | lapsed  |
      | stopped |
      | failed  |

  Scenario: The end of a run says nothing about a later one that was lost
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When both are repeated elsewhere and lost with that worker without the lease
    And the first worker lists both as lapsed when it answers again
    Then nothing is repeated before the leader has its lease again

  Scenario: The end of a run that was lost counts after a start that was not sent
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When their worker is lost without the lease, which ends again after the dispatch
    And the starts are not sent
    And the worker lists both as lapsed when it answers again
    Then both subtasks start again

  Scenario: What a worker that was lost has lost by a restart is repeated without the lease
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When the leader has no lease, and their worker is silent until its lease has expired
    And the worker has restarted when it answers again
    Then both subtasks start again

  Scenario: Runs that were over with the lease may be repeated without it
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When the leader has no lease, and their worker is silent until its lease has expired
    And the leader has its lease for a moment, in which it starts nothing
    Then both subtasks start again

  Scenario: A start that was queued is not sent without the lease
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When their worker is lost without the lease, which ends again after the dispatch
    Then the starts may not be sent

  # Guards against TWICE: the successor had reached the worker and renewed its lease.
  Scenario: A worker that a new leader has never reached is not free without the lease
    Given a subtask runs on one of 2 workers as the leader changes
    When the new leader does not reach that worker, and has no lease for 10 s
    Then the subtask starts again only once the leader has its lease

  # Guards against TWICE: the lists that it never read may name the subtask.
  Scenario: A worker that was lost before all of its lists is not free without the lease
    Given a subtask runs on one of 2 workers as the leader changes
    When that worker answers with a part of its lists, and there is no lease for 10 s
    Then the subtask starts again only once the leader has its lease

  # Guards against TWICE: the subtask may run on a worker that isn't known.
  Scenario: Stored jobs wait for the lease if the stored list of workers can't be read
    Given a subtask runs on one of 2 workers as the leader changes
    When that worker is not known, and the new leader has no lease for 10 s
    Then the subtask starts again only once the leader has its lease

  Scenario: Work that waited for a worker goes on without the lease once it answers
    Given a subtask runs on one of 2 workers as the leader changes
    When the new leader has no lease, and that worker answers after 10 s
    Then a subtask that waited for its answer starts, and the other runs on

  # Guards against QUOTA: the successor may have the runs of the lost worker go on.
  Scenario Outline: Runs that are presumed to be over count for their team
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    And the team may have 10 cores running
    When the leader has no lease, and <event>
    Then no other 4 cores of the team run before the leader has its lease again

    Examples: events
      | event                                                |
      | their worker is silent until its lease has expired   |
      | their worker's address belongs to another worker     |
      | their worker leaves the list and then says no more   |

  Scenario: Runs that were presumed to be over and go on count once for their team
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    And the team may have 10 cores running
    When the leader has no lease, and their worker is silent until its lease has expired
    And the worker still has them when it answers again
    Then 2 more cores of the team run, and no more

  Scenario: Runs that a worker no longer has don't count for their team
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    And the team may have 10 cores running
    When the leader has no lease, and their worker is silent until its lease has expired
    And the worker has restarted when it answers again
    Then both subtasks start again
