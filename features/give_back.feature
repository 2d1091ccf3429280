Feature: Drains give way only to subtasks that could start
  A drain gives way to a long-running subtask that fits on no other worker. If the subtask waits
  for something else, its machine is drained on.

  Scenario: A drain gives way to a subtask that fits on no other worker
    Given a long-running subtask that fits only on a drained worker
    Then the drained worker is given back

  # Guards against drains that begin anew every few seconds for as long as the subtask waits.
  Scenario Outline: A drain goes on if the subtask could not start on the worker
    Given a long-running subtask that fits only on a drained worker
    But it can't start there because <hindrance>
    Then the drained worker is not given back

    Examples: hindrances
      | hindrance                               |
      | the worker's data centre is evacuated   |
      | the worker is ejected                   |
      | the worker's lease has expired          |
      | its job is held back                    |
      | its last run may go on                  |
      | the queue's new pool is not stored yet  |
      | it needs a ticket                       |

  # Guards against runs on a machine that an unanswered order may still move, and against
  # drains that are too short to end anything.
  Scenario: A machine is drained for a while before it is given back
    Given a wave drains the only worker on which a long-running subtask fits
    Then the subtask starts there 3 to 4 seconds after the drain began
