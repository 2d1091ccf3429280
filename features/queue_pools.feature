Feature: Queues that change while their jobs run
  A successor knows the queues of the stored jobs, and every pool that they have had.

  # Guards against TWICE: workers of a queue's former pool were not waited for.
  Scenario: A successor waits for the workers of a queue's former pool
    Given a job runs on 2 workers, and its queue then moves to another pool
    When a new leader takes over while a worker of the former pool is cut off
    Then the job's subtask on it starts only after its lease has ended

  Scenario: A former pool is forgotten once the queue has no runs there
    Given a job runs on 2 workers, and its queue then moves to another pool
    When its runs end, and a new leader takes over while a former worker is cut off
    Then a subtask of the next job starts at once in the new pool

  # Guards against TWICE: a successor would look for the runs in the former pool only.
  Scenario: Nothing starts in a queue's new pool before the store has it
    Given a job waits, and its queue moves to another pool while the store is away
    Then nothing starts in the new pool until the store is back

  # Guards against LOST: a successor knew only the queues of the newest configuration.
  Scenario: A job whose queue was removed is completed by a successor
    Given a job of two steps runs, and its queue is removed
    When a new leader takes over with the newest configuration
    Then the job is completed, and the queue's record is deleted later

  # Guards against TWICE: stored jobs of a leader that stored no queues.
  Scenario: A stored job without a record of its queue waits for every pool
    Given a job runs on 2 workers, and its queue then moves to another pool
    When a new leader finds no record of the queue while a former worker is cut off
    Then the job's subtask on it starts only after its lease has ended
