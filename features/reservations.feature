Feature: Reservations of workers
  A subtask that fits nowhere gets a worker reserved, which empties until it fits. Work
  that doesn't last stays off that worker meanwhile.

  Scenario: A subtask that needs a whole worker starts beside endless small ones
    Given a scheduler with 2 workers of 8 cores
    When a subtask of 8 cores waits beside small ones that take 1 second and never cease
    Then it starts within 4 seconds

  # Guards against LOST: review/5.
  Scenario Outline: No worker is reserved for a subtask that waits for more than capacity
    Given a scheduler with 2 workers of 8 cores
    And <work> has waited for 2 seconds
    When 2 younger subtasks of 5 cores are ready
    Then 2 are started and the rest wait

    Examples: work
      | work                                                |
      | a long-running step at its limit on every worker    |
      | a step at its limit on every worker                 |
      | a step that finds no room beside long-running work  |
      | a step that needs advice and has no ticket          |
      | a step that needs advice and whose tickets are over |

  Scenario: A worker without a ticket is not reserved
    Given a scheduler with 2 workers of 8 cores
    And a step of 8 cores has waited for 2 seconds with a ticket for a busy worker only
    When 1 younger subtasks of 8 cores are ready
    Then 1 are started and the rest wait

  Scenario: A worker whose long-running work is being stopped is reserved
    Given a scheduler with 2 workers of 8 cores
    And a step that finds no room beside long-running work has waited for 2 seconds
    When the long-running work on one worker is stopped
    And 2 younger subtasks of 5 cores are ready
    Then 1 are started and the rest wait

  Scenario: A reservation does not hold work back for long while there is room
    Given a scheduler with 3 workers of 8 cores
    And each worker runs a subtask of 1 core and a subtask of 8 cores is blocked
    When 3 younger subtasks of 4 cores are ready
    Then 2 are started and the rest wait
    And the last one starts within 2.2 seconds

  Scenario: A reservation holds work back for a limited time in a busy pool
    Given a scheduler with 3 workers of 8 cores
    And each worker runs a subtask of 3 cores and a subtask of 8 cores is blocked
    When 3 younger subtasks of 5 cores are ready
    Then 2 are started and the rest wait
    And the last one starts within 6.2 seconds

  Scenario: Blocked subtasks do not take turns at keeping a worker free
    Given a scheduler with 3 workers of 8 cores
    And each worker runs a subtask of 3 cores and 6 subtasks of 8 cores are blocked in turn
    When 3 younger subtasks of 5 cores are ready
    Then 2 are started and the rest wait
    And the last one starts within 6.2 seconds

  Scenario Outline: No worker is kept for a suspect that can't start there
    Given a scheduler with 3 workers of 8 cores
    And a subtask is suspected of two crashes and <hindrance>
    When 3 younger subtasks of 5 cores are ready
    Then 3 are started and the rest wait

    Examples: hindrances
      | hindrance                                   |
      | each worker runs long-running work          |
      | its step is at its limit on every worker    |
      | its queue needs advice and it has no ticket |

  Scenario: A worker that empties soon is kept for a suspect
    Given a scheduler with 3 workers of 8 cores
    And a subtask is suspected of two crashes and each worker runs other work
    When 3 younger subtasks of 5 cores are ready
    Then 2 are started and the rest wait
