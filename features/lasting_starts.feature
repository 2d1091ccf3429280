Feature: Starts of long-running subtasks are stored before they leave
  A leader may be killed while a start is under way, and a later life of the worker may
  take it. Its successor waits longer for these subtasks, and for no others.

  # Guards against TWICE: only the killed leader knew of the start.
  Scenario: A successor does not repeat a long-running start that was under way
    Given a worker that is back under its id before its leader has noticed
    When it takes a long-running start, its leader is killed 0.1 s later and it is cut off
    Then the subtask starts on another worker only when the lease is over

  # Guards against starts that leave before a successor can know of them.
  Scenario Outline: A start waits for the store only if it is a long-running one, <kind>
    When a leader starts a <kind> subtask while the store is away
    Then <count> starts have left, and the one that waited has when the store is back
    And the start was stored with its worker as it left, if it is long-running

    Examples: kinds
      | kind         | count |
      | short        | 1     |
      | long-running | 0     |

  # Guards against tasks that wait for ever, and starts of what was stopped meanwhile.
  Scenario Outline: A start that waits for the store is given up when <event>
    When a leader starts a long-running subtask while the store is away, and <event>
    Then no start has left when the store is back, and none waits

    Examples: events
      | event                 |
      | the run is stopped    |
      | its worker is removed |

  # Guards against a start that waits for ever, as its record is stored already.
  Scenario: A start that is refused and repeated does not wait for a change
    When a long-running start is refused and repeated on the same worker at once
    Then both have been stored before they leave

  # Guards against TWICE, and against LOST of the subtasks that need not wait.
  Scenario Outline: Subtasks whose start a worker may have taken wait for the limit, <record>
    Given 2 long-running subtasks on a worker that is lost as the leader is killed
    When the store has <record>
    Then these of them start again only when a lease up to the limit is over: <waiting>

    Examples: records
      | record                                       | waiting |
      | the start of the first on that worker        | 0       |
      | the start of the first on an unknown worker  | 0 1     |
      | the start of another occurrence there        | 0 1     |
      | a record of starts that can't be read        | 0 1     |
      | more starts on that worker than are stored   | 0 1     |
      | no start                                     | none    |

  # Guards against TWICE: a gang starts at once, or not at all.
  Scenario: A gang waits for the member whose start a worker may have taken
    Given a gang of 2 long-running subtasks on a worker that is lost as the leader is killed
    When the store has the start of the first on that worker
    Then these of them start again only when a lease up to the limit is over: 0 1

  # Guards against TWICE: the second leader dropped what its successor had to know.
  Scenario Outline: A successor that is killed in turn leaves the starts to the next, <record>
    Given 2 long-running subtasks on a worker that is lost as the leader is killed
    When the store has <record>, and the successor is killed after 2 s
    Then these of them start again only when a lease up to the limit is over: <waiting>

    Examples: records
      | record                                       | waiting |
      | the start of the first on that worker        | 0       |
      | the start of the first on an unknown worker  | 0 1     |
      | a record of starts that can't be read        | 0 1     |

  # Guards against a record that is too large to store, so that nothing is stored.
  Scenario: The record of starts does not grow with each leader that is killed
    Given 2 long-running subtasks on a worker that is lost as the leader is killed
    When the store has more starts on that worker than are stored, for 1 s
    Then the successor stores one start, of any subtask on that worker

  # Guards against LOST: the subtask would wait for the limit after the next takeover.
  Scenario Outline: A start is no longer stored once <proof>
    Given 2 long-running subtasks on a worker that is lost as the leader is killed
    When the store has the start of the first on that worker, and <proof>
    Then no start is stored any more, and the first waits for none

    Examples: proofs
      | proof                  |
      | that worker answers    |
      | that worker is removed |

  # Guards against TWICE: a later life knows no token, and may yet get the stored start.
  Scenario: A successor starts it on the worker that may start it late, and stores that
    Given 2 long-running subtasks on a worker that is lost as the leader is killed
    When the store has the start of the first on that worker, and that worker answers without it
    Then the first starts on that worker again, and stays stored until it can't be started late
