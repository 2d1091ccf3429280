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

  # Guards against TWICE: that poll's deadline was on the clock of the former life.
  Scenario: A lease lasts that a restarted worker got by the poll that found it empty
    Given a scheduler with 2 workers of 8 cores
    When a worker is read as restarted and empty, answers a start and is cut off
    Then that run counts for 6.12 s, and no longer than 6.4 s

  # Guards against TWICE: the former leader's calls had a deadline of the former clock.
  Scenario Outline: A lease lasts that a worker of <age> s got from a leader that is gone
    Given a scheduler with 2 workers of 8 cores
    When a worker of <age> s with a run answers a new leader and is cut off
    Then that run counts for <least> s, and no longer than <most> s

    Examples: ages
      | age | least | most |
      | 1   | 6.12  | 6.4  |
      | 60  | 3.6   | 4.3  |

  # Guards against TWICE: the stored lease is of the life before the listed one.
  Scenario: A stored lease does not end the wait for a life that is listed since
    When a new leader that awaits a listed life reads a stored lease of 1 s
    Then it still awaits that life for 6.8 s

  Scenario: A successor does not wait longer for a restart that its predecessor knew
    When a leader stores its fleet before and after a restart, and another restores it
    Then the other awaits no later life

  # Guards against TWICE: a later life may have taken it, as with no answer.
  Scenario: A start that fails unexpectedly counts as long as one without an answer
    When sending a start fails unexpectedly at a worker that has answered
    Then its lease may last for 6.1 s

  # Guards against TWICE: answers on other connections may be overtaken.
  Scenario: A late answer of a worker's former life does not stand for the present one
    When a worker's former life is heard of 1 s after the present one
    Then the present life does not count as having just answered

  # Guards against a leader that steps down over one order.
  Scenario: A late start is barred after the order to do so has failed unexpectedly
    When the order to bar a late start fails unexpectedly at first
    Then it is sent again, and the start is barred

  # Guards against TWICE: the entry was read after what the predecessor had stored.
  Scenario: A new leader waits longer for a worker once a later life of it is listed
    Given a subtask runs on one of 2 workers as the leader changes
    When the new leader does not reach that worker, and a later life is listed after 1 s
    Then the subtask starts again only when a lease up to the limit is over

  # Guards against TWICE: what bars a run ends with the life that was told to stop it.
  Scenario: A stop that a worker's former life has acknowledged is sent to the next one
    Given a scheduler with 2 workers of 8 cores
    When a start gets no answer, its stop is acknowledged, and the worker restarts
    Then that run counts until the next life has acknowledged its stop

  Scenario: A worker that is removed and known again at once is read
    When a worker is removed and known again before the next scheduling pass
    Then the leader reads its lists again

  # Guards against TWICE: the ends that are not read yet may have a subtask as done.
  Scenario: A worker that left the list is not taken for empty before its ends are read
    When a worker leaves the list before all of its ends were read
    Then the leader still waits for them

  # Guards against TWICE: the deadline was on the clock of the former life.
  Scenario Outline: A start that a restarted worker took unnoticed is not repeated, <answer>
    Given a worker that is back under its id before its leader has noticed
    When it takes a start, <answer>, and is cut off
    Then the subtask starts on another worker only when the lease is over

    Examples: answers
      | answer                 |
      | which it answers       |
      | whose answer gets lost |

  # Guards against TWICE: the successor knew nothing of the lease of the later life.
  Scenario Outline: A successor does not repeat a start that a restarted worker took, <answer>
    Given a worker that is back under its id before its leader has noticed
    When it takes a start, <answer>, its leader is killed <seconds> s later and it is cut off
    Then the subtask starts on another worker only when the lease is over

    Examples: answers
      | answer                 | seconds |
      | which it answers       | 0.2     |
      | whose answer gets lost | 0.6     |

  # Guards against TWICE: only the leader knew of the start, and it is killed.
  Scenario: No start is sent to a worker that may have restarted since its last answer
    Given a worker that has been back under its id for 0.1 s, unnoticed
    When a subtask waits for it, and it is cut off and its leader killed soon after
    Then the subtask starts on another worker, and none has started on the restarted one

  # Guards against TWICE: what bars a run ends with the life that was told so.
  Scenario: A start that was stopped without an answer is not carried out by the next life
    When a start gets no answer and is stopped, and the next life of its worker gets it
    Then the next life refuses it

  # Guards against TWICE: the call waited in the next life, whose ends have the same numbers.
  Scenario: No call that waits at a worker acknowledges ends
    When a leader has read the end of a run, and goes on polling its worker
    Then one call that did not wait acknowledged the end, and no other call

  # Guards against TWICE: nobody knows of the start but the leader that is killed.
  Scenario: A successor does not repeat a start whose outcome its predecessor never knew
    Given a worker that is back under its id before its leader has noticed
    When it takes a start, whose answer gets lost, its leader is killed 0.1 s later and it is cut off
    Then the subtask starts on another worker only when the lease is over
