Feature: Scheduling of jobs on workers
  The scheduler without a network: starts, capacity accounting and recovery.

  Scenario: Work never exceeds a worker's capacity
    Given a scheduler with 2 workers of 8 cores
    When 12 subtasks of 3 cores are ready
    Then 4 are started and the rest wait

  Scenario: A run that is being stopped still uses capacity
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When one of them is stopped
    Then no other subtask starts before its end is listed
    And another subtask starts after its end is listed

  Scenario: A team stays within its limit across pools
    Given a scheduler with 4 workers of 8 cores
    And the team may have 10 cores running
    When 12 subtasks of 3 cores are ready
    Then 3 are started and the rest wait

  Scenario: In a full pool a team under its share is served before one over it
    Given a scheduler with 2 workers of 8 cores
    And two teams with weights 1 and 3 that submit much more than fits
    When subtasks end one after the other
    Then the teams share the pool at about 1 to 3

  Scenario: An unanswered start uses capacity until its outcome is known
    Given a scheduler with 2 workers of 8 cores
    When a start gets no answer and the worker does not list it
    Then the run is sent again to its worker and the subtask starts nowhere else
    And after a stop it starts again only once the first order can't be carried out

  Scenario: A start request in flight when its worker restarts is awaited
    Given a scheduler with 2 workers of 8 cores
    When the worker restarts while a start request is in flight
    Then the subtask starts nowhere else while the request is in flight
    And the run counts once the new incarnation has received the request

  # Guards against polls without a pause for as long as the run lasts.
  Scenario: A start that is listed before its call ends unanswered is not polled for
    Given a scheduler with 2 workers of 8 cores
    When a start is listed before its call ends without an answer
    Then the run counts as running
    And nothing is polled for its outcome

  Scenario: An unanswered start that the worker lists is running
    Given a scheduler with 2 workers of 8 cores
    When a start gets no answer and the worker lists it as running
    Then the run counts as running

  Scenario: Runs of a silent worker have ended once its lease has expired
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When their worker is silent
    Then nothing is restarted before the lease can have expired
    And everything is restarted elsewhere after that

  Scenario: Unanswered calls do not renew a lease
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When their worker is silent while it is polled repeatedly
    Then nothing is restarted before the lease can have expired
    And everything is restarted elsewhere after that

  Scenario: A long-running subtask on a silent worker does not count as at work
    Given a scheduler with 3 workers of 8 cores
    And a long-running step of 3 subtasks that may miss 1 is at work
    When one of its workers is silent and another is evacuated
    Then no subtask is stopped

  Scenario: A later step waits for every subtask of the earlier one
    Given a scheduler with 2 workers of 8 cores
    When a job of two steps has one subtask of the first step left
    Then nothing of the second step starts
    And it starts when the last one is done

  Scenario: An end that is listed again counts once
    Given a scheduler with 2 workers of 8 cores
    When a failed end is listed in two reports and to a successor
    Then one failure is counted

  Scenario: Failed ends count in any order of arrival
    Given a scheduler with 2 workers of 8 cores
    When an older run's failed end arrives after a newer one's
    Then both failures are counted

  Scenario: A run that may have been the last attempt is awaited
    Given a scheduler with 2 workers of 8 cores
    When the last attempt of a subtask is lost with a silent worker
    Then it does not start again before the worker reports how it ended

  Scenario: A successor starts nothing before it knows what runs
    Given a successor with 2 workers and an inherited job
    When one worker has answered and the other has not
    Then nothing of the inherited job starts
    But a new job starts on the worker that has answered
    And the inherited job starts after the other worker's lease has expired

  Scenario: A successor adopts what workers run
    Given a successor with 2 workers and an inherited job
    When both workers answer and one lists a run of the job
    Then that subtask is not started again and the others are

  Scenario: Run numbers rise across epochs
    Given a successor with 2 workers and an inherited job
    Then its run numbers are above those of the epoch before

  Scenario: A gang starts completely or not at all
    Given a scheduler with 1 worker of 8 cores
    When a gang of 3 subtasks of 4 cores is ready
    Then nothing starts
    And with another worker all three start with one run number

  Scenario: An occurrence does not start before its time
    Given a scheduler with 1 worker of 8 cores
    When a job repeats 3 times, every 2 seconds from 5 seconds on
    Then 0, 1, 2 and 3 occurrences have started 4, 5.1, 7.1 and 9.1 seconds on

  Scenario: A long-running subtask is moved only while enough others are at work
    Given a scheduler with 3 workers of 8 cores
    And a long-running step of 3 subtasks that may miss 1 is at work
    When two of its workers are evacuated
    Then one subtask is stopped at a time

  Scenario: No work starts on a draining worker
    Given a scheduler with 2 workers of 8 cores
    When one of them is draining
    Then every start goes to the other

  Scenario: A restarted worker has lost its earlier runs
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When the worker reports a newer incarnation
    Then both subtasks are ready again and its capacity is free

  Scenario: Runs that a restarted worker lists belong to its new incarnation
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When the worker reports a newer incarnation that runs one of them
    Then only the other is ready again

  # The soak's seed 128: the order had gone to the new incarnation, which carried it
  # out after the subtask had ended elsewhere.
  Scenario: A start that got no answer is awaited after its worker restarts
    Given a scheduler with 2 workers of 8 cores
    And a start on the first worker gets no answer
    When the first worker reports a newer incarnation without the run
    Then the subtask is not ready, and the start is sent to that incarnation again
    And after another restart it is stopped, and ready once the stop is acknowledged

  Scenario: A start that a restarted worker answered after its report is kept
    Given a scheduler with 2 workers of 8 cores
    And a start on the first worker is answered after a report was requested
    When the first worker reports a newer incarnation without the run
    Then the subtask is not ready

  Scenario: A restarted worker that may have taken an order keeps its lease the longest
    Given a scheduler with 2 workers of 8 cores
    And a start on the first worker gets no answer
    When the first worker reports a newer incarnation without the run
    Then the run counts until the longest lease of a late start is over

  # Guards against TWICE: a successor waits for a lease as from its grant.
  Scenario: A lease that is granted long after a worker's answer ends as soon as any
    Given a worker with a slow clock that answered 30 s ago
    When its lease is renewed
    Then the lease is over by the time that a successor waits

  Scenario: A gang that may have used its last attempt is awaited
    Given a scheduler with 3 workers of 8 cores
    And a gang has failed twice of three times and a third run's lease expired
    When the silent workers answer no more
    Then the gang is not started again

  Scenario: A worker with several stuck runs is reported once
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When neither makes any progress for 3 seconds
    Then the worker is reported once and both runs are stopped

  Scenario: A successor counts the remaining runs of a cancelled job
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When the job is cancelled and a successor takes over before the runs have ended
    Then the successor stops the runs and counts them until they have ended

  Scenario: No end is acknowledged to a worker that may have restarted
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When a call to the worker fails after its ends were stored
    Then the next call acknowledges no end and nothing starts there

  Scenario: Best-effort work is throttled beside a serving subtask over its target
    Given a scheduler with 1 worker of 8 cores
    And a serving subtask with a target of 100 ms and a best-effort one run there
    Then a tail latency of 150 ms throttles best-effort work to 30 and then to 0 percent
    And a tail latency of 50 ms restores its speed in steps after a delay

  Scenario: A step that needs advice starts only where it has a ticket
    Given a scheduler with 3 workers of 8 cores
    And the queue needs advice
    When 2 subtasks of 3 cores are ready
    Then 0 are started and the rest wait
    And with a ticket for one worker both start there until the ticket expires

  Scenario: Run times are learned where estimates are inaccurate
    Then estimates that are off by a factor of ten are corrected to within a half

  Scenario: Records of jobs and progress decode to what was encoded
    Then random jobs and their progress decode to what was encoded

  Scenario: Random histories violate no invariant
    Then random histories of starts, ends, silence and successors violate no invariant

  # Guards against TWICE: acknowledged ends of occurrences that the leader had not opened.
  Scenario: An end of an occurrence that the new leader has not opened counts
    Given a scheduler with 2 workers of 64 cores
    And a job of 100 occurrences, of which the leader runs on while nothing is stored
    When a new leader takes over, reads the ends and runs the job to its end
    Then each occurrence was started once, and the job is completed

  # Guards against LOST: attempts that ended in an occurrence that was not open.
  Scenario: A failed run of an occurrence that the new leader has not opened counts
    Given a scheduler with 2 workers of 64 cores
    And a job of 100 occurrences, of which the leader runs on while nothing is stored
    When a new leader reads that the run of occurrence 80 has failed
    Then the run counts as one of its attempts
