Feature: Instances on the users' platform
  Real instances in one event loop talk to stand-ins of the store, the workers
  and the machine service over loopback.

  Scenario: A job runs from its submission to its end
    When a job of two steps is submitted to an instance that is not the leader
    Then it is completed
    And no subtask ran twice and no worker was over its capacity

  Scenario: Callers are checked against the current configuration
    Then a call with an unknown key gets 401
    And a call to an unknown queue gets 404
    And a job that nobody submitted gets 410
    And a malformed job gets 400 with every finding

  Scenario: A new configuration replaces the old one
    When the key of the team is replaced in a newer configuration
    Then the old key gets 401 and the new one is served

  Scenario: A repeated submission stays one job
    When a job is submitted three times to different instances
    Then it is completed
    And each subtask started once

  Scenario: A cancelled job is stopped
    When a long-running job is cancelled
    Then none of its subtasks run and its state is cancelled

  Scenario: A subtask that always fails ends its job after its attempts
    When a job that always fails is submitted
    Then it is failed after 3 starts of its subtask

  Scenario: One of several claims of an epoch wins
    When six instances start at once
    Then exactly one of them is the leader

  Scenario: A killed leader is replaced and nothing runs twice
    When the leader is killed while jobs run
    Then every accepted job is completed by its successor
    And no subtask ran twice and no worker was over its capacity

  Scenario: A stopped leader hands over at once
    When the leader is told to stop while a job is submitted
    Then the job is accepted within 1 second

  Scenario: A stopped leader hands over to the instance that started last
    When three instances start one after the other and the first is told to stop
    Then the third is the leader

  Scenario: Another instance takes over when the named successor is dead
    When the leader hands over to an instance that does not exist
    Then another instance is the leader within 3 seconds

  Scenario: Jobs are restored from the store after every instance was killed
    When every instance is killed while jobs run and new ones start
    Then every accepted job is completed by its successor
    And no subtask ran twice and no worker was over its capacity

  Scenario: An unresponsive worker delays only what it may be running
    When the leader is killed while one worker is unresponsive
    Then every accepted job is completed by its successor
    And no subtask ran twice and no worker was over its capacity

  Scenario: The outcome of an unanswered start is known before it is tried elsewhere
    When a worker leaves starts unanswered and carries them out late
    Then it is completed
    And no subtask ran twice and no worker was over its capacity

  Scenario: An unanswered append is repeated but applied once
    When the store loses the answers of 3 appends while a job is submitted
    Then it is completed
    And each subtask started once

  Scenario: The store is away
    When the store is down
    Then a new job gets 503 or, if its outcome is unknown, 504
    And the state of an accepted job can still be read
    And work continues and is completed after the store is back

  Scenario: A leader cut off from the store learns of a new leader from its peers
    When the leader is cut off from the store while no worker answers
    Then half a second later it knows of the new leader, and it starts nothing

  Scenario: An instance cut off from the store finds the new leader through its peers
    When the leader and another instance are cut off from the store
    Then the other instance accepts a job for the new leader

  Scenario: A leader continues while the store is down for all instances
    When the store is down longer than others wait before they claim leadership
    Then the leader still starts what it had accepted

  # A worker that restarts has seen no token, so it would also obey a leader that has
  # been replaced and does not know.
  Scenario: A worker that restarts while the store is down starts nothing until it is back
    When a worker restarts while the store is down, with more work than the others hold
    Then nothing starts on it before the store is back, and the others go on
    And every accepted job is completed by its successor

  Scenario: The store truncates its history
    When the key is replaced and the store truncates the operators' records
    Then the old key gets 401 and the new one is served

  Scenario: A worker restarts under the same id
    When a worker restarts while it runs a job
    Then it is completed

  Scenario: A worker restarts while its last end waits for the store
    When a worker restarts unnoticed while the store does not answer
    Then it is completed
    And only the subtask that ran at that time started twice

  Scenario: A maintenance wave evacuates machines first
    When a wave of three machines is requested while long-running work runs
    Then the wave is completed within its limit of 1
    And the long-running work lost at most one subtask at a time

  Scenario: Operators see where a job runs and why it waits
    When a job larger than any worker and one that runs are shown
    Then the command line shows the runs of one and why the other waits

  Scenario: A weaker instance leaves leadership to a stronger one
    When a weak instance and a strong one start at once
    Then the strong one is the leader
