Feature: Runs that a leader can't assign to a job
  The leader doesn't know what they need, so that nothing starts beside them.

  # Guards against LIMIT: a run of a job that can't be read counted for nothing.
  Scenario: Nothing starts on a worker beside a run of a job that can't be read
    Given 2 workers that each run a subtask of a job
    When a leader takes over that can't read the job
    And all workers have reported
    Then no subtask of another job starts
    When the run on the first worker has ended and all workers have reported
    Then a subtask of another job starts on the first worker only

  Scenario: A run is not evicted to a worker with a run of a job that can't be read
    Given 2 workers, one with a long-running subtask and one with a subtask of a job
    When a leader takes over that can't read the job
    And all workers have reported
    And the worker of the long-running subtask is evacuated
    Then the long-running subtask is not stopped
