Feature: Evictions after a change of leader
  A successor stops a long-running subtask only while enough others are at work.

  # Guards against AVAIL: a run that the former leader stops was taken for at work.
  Scenario: A run that the former leader may be stopping does not count as at work
    Given a scheduler with 5 workers of 8 cores
    And a long-running step on 3 of them that may miss 1 is at work
    When a new leader takes over just after one of its subtasks was told to stop
    Then the new leader evicts no other subtask before that one is at work again
    And it then evicts the other

  Scenario: A new leader evicts subtasks once no stop can be under way
    Given a scheduler with 5 workers of 8 cores
    And a long-running step on 3 of them that may miss 1 is at work
    When a new leader takes over
    Then it evicts no subtask during the time that a stop may take
    And it evicts one after that

  Scenario: A run that a new leader starts itself counts as soon as it is at work
    Given a scheduler with 5 workers of 8 cores
    And a long-running step on 3 of them that may miss 1 is at work
    When a new leader has started one of its subtasks, and all are at work
    Then it evicts another at once

  # Guards against long-running subtasks that stand still for the time of a lease.
  Scenario: A new leader evicts no subtask that it may not start elsewhere yet
    Given a scheduler with 5 workers of 8 cores
    And a long-running step on 3 of them that may miss 1 is at work
    When a new leader takes over while a worker without runs is silent
    Then it evicts no subtask before the silent worker's lease is over
    And a subtask that it evicts after that starts elsewhere at once

  # Guards against AVAIL: the successor may be evicting another subtask of the step.
  Scenario Outline: A leader that may have a successor evicts no subtask
    Given a scheduler with 5 workers of 8 cores
    And a long-running step on 3 of them that may miss 1 is at work
    When the leader has no lease, and a worker <event>
    Then it evicts no subtask before it has its lease again

    Examples: events
      | event                         |
      | is to be maintained           |
      | is draining and has time left |

  Scenario: A worker that is about to leave is emptied without the lease
    Given a scheduler with 5 workers of 8 cores
    And a long-running step on 3 of them that may miss 1 is at work
    When the leader has no lease, and a worker is draining and has no time left
    Then its subtask is stopped
