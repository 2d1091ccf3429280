Feature: Subtasks that crash the workers that start them
  A job is given up for a subtask that crashes workers, and for no other reason.

  Scenario Outline: A subtask that crashes every worker is given up
    Given 6 workers of 16 cores that return under <id> after <down> s
    When a job whose only subtask crashes its workers runs for 60 seconds
    Then that job is failed after at most 5 starts of the subtask
    And every other job completes

    Examples: ways back
      | id        | down |
      | a new id  | 3.3  |
      | a new id  | 5.0  |
      | its old id | 0.3  |
      | its old id | 5.0  |

  Scenario: Neighbours started in the same pass complete
    Given 5 workers of 16 cores that return under a new id after 3.3 s
    When a subtask that crashes its workers starts together with 30 other jobs
    Then that job is failed after at most 5 starts of the subtask
    And every other job completes
    And each crash takes fewer neighbours than the one before, and the third none

  Scenario: A subtask that crashes workers takes few neighbours under steady load
    Given 5 workers of 16 cores that return under a new id after 3.3 s
    When a subtask that crashes its workers starts while other jobs keep arriving
    Then that job is failed after at most 5 starts of the subtask
    And every other job completes
    And the crashes after the first take at most 4 neighbours

  Scenario: Two such subtasks on one worker are both given up
    Given 4 workers of 16 cores that return under a new id after 3.3 s
    When two subtasks that crash their workers share one with 4 other jobs
    Then both their jobs are failed after at most 5 starts of each subtask
    And every other job completes

  Scenario Outline: A new leader knows the crashes counted before it
    Given 5 workers of 16 cores that return under <id> after 3.3 s
    When a new leader takes over after each crash of a subtask beside 8 others
    Then that job is failed after at most 5 starts of the subtask
    And every other job completes

    Examples: ways back
      | id        |
      | a new id  |
      | its old id |

  Scenario: A worker that crashes at random is not blamed on its subtasks
    Then in 40 random histories only the job whose subtask crashes workers is failed

  Scenario Outline: A gang with such a subtask is given up
    Given 6 workers of 16 cores that return under <id> after 3.3 s
    When member 2 of a gang of 4 crashes its workers beside 6 jobs
    Then that job is failed after at most 5 starts of the subtask
    And every other job completes

    Examples: ways back
      | id        |
      | a new id  |
      | its old id |

  Scenario: A long-running step with such a subtask is given up
    Given 6 workers of 16 cores that return under a new id after 3.3 s
    When subtask 1 of 3 long-running ones is deadly beside 6 jobs
    Then that job is failed after at most 5 starts of the subtask
    And every other job completes

  Scenario: A subtask on a worker that was only cut off is not blamed
    Given 3 workers of 16 cores that return under a new id after 3.3 s
    When each worker that starts a subtask is cut off for 5 s, 6 times
    Then no crash is counted for the subtask, and its job is not failed

  Scenario: A crash is taken back as soon as the worker answers again
    Given 3 workers of 16 cores that return under a new id after 3.3 s
    When the worker of a subtask is cut off until its loss counts as a crash
    Then no crash of the subtask counts 0.2 s after the worker answers again

  Scenario: A new leader counts a crash that no leader has seen
    Given 6 workers of 16 cores that return under a new id after 3.3 s
    When each leader ends right after it has started the suspected subtask again
    Then that job is failed after at most 5 starts of the subtask

  Scenario Outline: Suspects don't stand still after a takeover, <count> workers
    Given <count> workers of 32 cores that return under a new id after 3.3 s
    When a worker with <runs> runs crashes and the leader changes as it is noticed
    Then every lost subtask starts within 3 s

    Examples: pools
      | count | runs |
      | 2     | 20   |
      | 3     | 20   |
      | 4     | 32   |
      | 6     | 32   |

  Scenario: A refused start does not set back the wait of its subtask
    Given 2 workers of 16 cores that return under a new id after 3.3 s
    When the worker refuses the start of a subtask that has waited for 1 s
    Then the subtask still counts as ready since then

  Scenario: A restart whose report fails is still a restart in the next report
    Given 2 workers of 16 cores that return under its old id after 0.3 s
    When the first report of a restarted worker is undone
    Then the crash of its subtask still counts after its next report

  Scenario: A gang starts again after a member is cleared with an unstored note
    Given 2 workers of 16 cores that return under a new id after 3.3 s
    When a member of a suspected gang is cleared while the note of its start is unstored
    Then the gang may start once the other members' crashes are stored

  Scenario: A presumed crash does not give up a subtask at the third
    Given 4 workers of 16 cores that return under a new id after 3.3 s
    When a subtask with one seen and one presumed crash loses its worker
    Then its job is not failed

  Scenario: A planned loss of its worker is not blamed on a subtask
    Given 3 workers of 16 cores that return under a new id after 3.3 s
    When each worker that starts a subtask leaves as announced, 6 times
    Then no crash is counted for the subtask, and its job is not failed

  Scenario: A subtask suspected of two crashes waits until they are stored
    Given 5 workers of 16 cores that return under a new id after 3.3 s
    When the store is away from the first crash of a subtask on
    Then the subtask starts once more before the store is back, and others start
    And that job is failed after at most 5 starts of the subtask
    And every other job completes

  Scenario: Other work goes on when a suspected subtask has the only worker
    Given 1 worker of 16 cores that return under its old id after 0.3 s
    When a subtask that crashes its workers starts together with 6 other jobs
    Then that job is failed after at most 5 starts of the subtask
    And every other job completes
    And no other subtask waits for 3 seconds while the worker is up

  Scenario: A suspected subtask that finds no idle worker starts soon all the same
    Given 3 workers of 16 cores that return under a new id after 3.3 s
    When every worker has a long run and a subtask crashes its workers
    Then the subtask never waits for more than 2.5 seconds while two workers are up
    And that job is failed after at most 5 starts of the subtask
    And every other job completes

  Scenario: A job without crashes is stored as before, and one with them can be read
    Then crashes only add an entry at the end of a job's record

  # Guards against LOST: each new leader presumed a crash of a suspect that only waited.
  Scenario: A suspect that waits for capacity is not failed when the leader changes
    Given 3 workers of 4 cores that return under a new id after 600 s
    When a suspect waits for capacity while 4 leaders take over in turn
    Then one crash counts for the subtask, and its job is not failed

  # Guards against LOST: leaders in series each presumed a run that was never sent.
  Scenario: A suspect whose start was noted and not sent is not failed by leaders that hand over
    Given 3 workers of 4 cores that return under a new id after 3.3 s
    When 4 leaders hand over in turn after the start of a suspect was noted
    Then one crash counts for the subtask, and its job is not failed

  Scenario: A leader withdraws the notes of unsent starts before it releases leadership
    When the leader of two instances hands over with a suspect whose start is noted
    Then the store has no note of the start when leadership is released

  # Guards against LOST: the note of a start outlasted a run that ended otherwise.
  Scenario: A suspect whose run has ended is not presumed to have crashed a worker
    Given 3 workers of 4 cores that return under a new id after 3.3 s
    When a suspect fails on a worker, waits, and 4 leaders take over in turn
    Then one crash counts for the subtask, and its job is not failed

  # Guards against a job given up too early: the other start has no answer, and counts longer.
  Scenario: A run does not count as alone beside a start that is released later
    Given a scheduler with 1 worker of 8 cores
    When a run that crashed twice is lost within 0.1 s beside another job's start
    Then neither job is given up

  # Guards against LOST: restarts of many workers, and starts without an answer, counted as crashes.
  Scenario Outline: Many workers that fail together are not blamed on their subtasks, <share>
    Then in 6 histories with half of the workers restarting each 3 s and <share> of the calls unanswered, every harmless job completes

    Examples: share of calls without an answer
      | share |
      | 0.8   |
      | 0.5   |
      | 0     |

  # Guards against BUDGET: a deadly subtask that is never given up while other workers fail.
  Scenario Outline: A deadly subtask is given up while many workers fail as well, <share>
    Then in 4 such histories with <share> of the calls unanswered a deadly subtask is given up after at most 5 starts

    Examples: share of calls without an answer
      | share |
      | 0.8   |
      | 0     |

  # Guards against LOST: one worker restarted in series, and lost a subtask four times.
  Scenario: A worker that restarts again and again is not blamed on its subtasks
    Then in 4 histories with a worker that restarts each 1 s, every harmless job completes
    And in 4 histories with a worker that restarts each 1.5 s, every harmless job completes
    And in 2 histories with a worker that restarts each 1.5 s, a deadly subtask is given up after at most 5 starts

  # Guards against LOST: a start without an answer counted however long its worker lived on.
  Scenario Outline: A start without an answer counts only if its worker is lost soon, <seconds> s
    Given 2 workers of 16 cores that return under a new id after 3.3 s
    When a worker crashes <seconds> s after it left a start without an answer
    Then <count> crashes of its subtask count

    Examples: times
      | seconds | count |
      | 0.1     | 1     |
      | 2.5     | 0     |

  # Guards against LOST: the worker that had lost a subtask got it again, as it was empty.
  Scenario: A suspect does not start on the worker that it was lost with
    Given 3 workers of 16 cores that return under its old id after 0.3 s
    When a subtask has been lost with a worker that is the emptiest since
    Then the subtask starts next on another worker

  # Guards against LOST: a break that had passed counted as a sign of a crash.
  Scenario Outline: A connection that broke is a sign of a crash only right after a start, <when>
    Given 4 workers of 16 cores that return under its old id after 0.3 s
    When workers restart together after a connection to each broke <when> a start
    Then <count> crashes of its subtask count

    Examples: times
      | when   | count |
      | before | 0     |
      | after  | 1     |
