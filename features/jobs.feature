Feature: The life of jobs on workers
  The scheduler alone, without a network: what it starts, counts and settles.

  Scenario: Work never exceeds a worker's capacity
    Given a scheduler with 2 workers of 8 cores
    When 12 subtasks of 3 cores are ready
    Then 4 are started and the rest wait

  Scenario: What is being stopped still counts
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

  Scenario: In a full pool a team under its share goes before one over it
    Given a scheduler with 2 workers of 8 cores
    And two teams with weights 1 and 3 that submit much more than fits
    When subtasks end one after the other
    Then the teams run about 1 to 3 parts of the pool

  Scenario: A start without an answer counts until it is settled
    Given a scheduler with 2 workers of 8 cores
    When a start gets no answer and the worker does not list it
    Then the run is ordered to stop and nothing else starts the subtask
    And the subtask starts again after the stop was acknowledged and a list came

  Scenario: An order that is under way when its worker restarts is waited for
    Given a scheduler with 2 workers of 8 cores
    When the worker restarts while the order to start a subtask is under way
    Then nothing else starts the subtask while the order is open
    And the run counts once the new life has got the order

  Scenario: A start without an answer that the worker lists is running
    Given a scheduler with 2 workers of 8 cores
    When a start gets no answer and the worker lists it as running
    Then the run counts as running

  Scenario: Runs of a silent worker are over once its lease has lapsed
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When their worker is silent
    Then nothing is started again before the lease can have lapsed
    And everything is started again elsewhere after that

  Scenario: Calls without an answer renew no lease
    Given a scheduler with 2 workers of 8 cores
    And 2 subtasks of 4 cores run
    When their worker is silent while it is asked again and again
    Then nothing is started again before the lease can have lapsed
    And everything is started again elsewhere after that

  Scenario: A lasting subtask on a silent worker is not at work
    Given a scheduler with 3 workers of 8 cores
    And a lasting step of 3 subtasks that may miss 1 is at work
    When one of its workers is silent and another is emptied
    Then no subtask is stopped

  Scenario: A later step waits for every subtask of the earlier one
    Given a scheduler with 2 workers of 8 cores
    When a job of two steps has one subtask of the first step left
    Then nothing of the second step starts
    And it starts when the last one is done

  Scenario: An end that is listed again counts once
    Given a scheduler with 2 workers of 8 cores
    When a failed end is listed by two reports and to a successor
    Then one failure is counted

  Scenario: Failed ends count in whatever order they come
    Given a scheduler with 2 workers of 8 cores
    When an older run's failed end comes after a newer one's
    Then both failures are counted

  Scenario: A run that may have been the last attempt is waited for
    Given a scheduler with 2 workers of 8 cores
    When the last attempt of a subtask is lost with a silent worker
    Then it does not start again before the worker tells how it ended

  Scenario: A successor starts nothing before it knows what runs
    Given a successor with 2 workers and an inherited job
    When one worker has answered and the other has not
    Then nothing of the inherited job starts
    But a new job starts on the worker that has answered
    And the inherited job starts after the other worker's lease has lapsed

  Scenario: A successor adopts what workers run
    Given a successor with 2 workers and an inherited job
    When both workers answer and one lists a run of the job
    Then that subtask is not started again and the others are

  Scenario: Run numbers rise across epochs
    Given a successor with 2 workers and an inherited job
    Then its run numbers are above those of the epoch before

  Scenario: A gang starts whole or not at all
    Given a scheduler with 1 worker of 8 cores
    When a gang of 3 subtasks of 4 cores is ready
    Then nothing starts
    And with another worker all three start with one run number

  Scenario: An occurrence does not start before its time
    Given a scheduler with 1 worker of 8 cores
    When a job repeats 3 times, every 2 seconds from 5 seconds on
    Then 0, 1, 2 and 3 occurrences have started 4, 5.1, 7.1 and 9.1 seconds on

  Scenario: A lasting subtask is moved only while enough others are at work
    Given a scheduler with 3 workers of 8 cores
    And a lasting step of 3 subtasks that may miss 1 is at work
    When two of its workers are emptied
    Then one subtask is stopped at a time

  Scenario: Work starts nowhere on a worker that drains
    Given a scheduler with 2 workers of 8 cores
    When one of them drains
    Then every start goes to the other

  Scenario: A worker that restarted holds nothing of before
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When the worker reports a newer life
    Then both subtasks are ready again and its room is free

  Scenario: Runs that a restarted worker lists are of its new life
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When the worker reports a newer life that has one of them
    Then only the other is ready again

  Scenario: A successor counts what still runs of a cancelled job
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When the job is cancelled and a successor takes over before the runs have ended
    Then the successor stops the runs and counts them until they have ended

  Scenario: A worker that may have restarted forgets no end
    Given a scheduler with 1 worker of 8 cores
    And 2 subtasks of 4 cores run
    When a call to the worker fails after its ends were stored
    Then the next call lets it forget nothing and nothing starts there

  Scenario: Fillers slow down beside a serving subtask that is over its target
    Given a scheduler with 1 worker of 8 cores
    And a serving subtask with a target of 100 ms and a filler run there
    Then a tail of 150 ms slows the filler to 30 and then to 0 percent
    And a tail of 50 ms gives it its speed back in steps after a while

  Scenario: A step that needs advice starts only where it has a ticket
    Given a scheduler with 3 workers of 8 cores
    And the queue needs advice
    When 2 subtasks of 3 cores are ready
    Then 0 are started and the rest wait
    And with a ticket for one worker both start there until the ticket expires

  Scenario: Run times are learned where estimates say little
    Then estimates that are off by a factor of ten are corrected to within a half

  Scenario: Records of jobs and progress read back as they were written
    Then random jobs and their progress survive coding

  Scenario: Random histories keep every promise
    Then random histories of starts, ends, silence and successors keep the rules
