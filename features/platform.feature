Feature: Instances on the users' platform
  Real instances in one loop talk to stand-ins of the store, the workers and the
  machine service over loopback.

  Scenario: A job runs from its submission to its end
    When a job of two steps is submitted to an entry that does not hold the fleet
    Then it is completed
    And no subtask ran twice and no worker was over its capacity

  Scenario: Callers are checked against the configuration in force
    Then a call with an unknown key gets 401
    And a call to an unknown queue gets 404
    And a job that nobody submitted gets 410
    And a malformed job gets 400 with every finding

  Scenario: A new configuration replaces the old one
    When the key of the team is replaced in a newer configuration
    Then the old key gets 401 and the new one is served

  Scenario: A repeated submission stays one job
    When a job is submitted three times to different entries
    Then it is completed
    And each subtask started once

  Scenario: A cancelled job is stopped
    When a job that lasts is cancelled
    Then nothing of it runs and its state is cancelled

  Scenario: A subtask that always fails ends its job after its attempts
    When a job that always fails is submitted
    Then it is failed after 3 starts of its subtask

  Scenario: One of several claims of an epoch wins
    When six instances start at once
    Then one of them holds the fleet

  Scenario: A killed holder is replaced and nothing runs twice
    When the holder is killed while jobs run
    Then every accepted job is completed by its successor
    And no subtask ran twice and no worker was over its capacity

  Scenario: A stopped holder hands over at once
    When the holder is told to stop while a job is submitted
    Then the job is accepted within 1 second

  Scenario: A stopped holder hands over to the instance that started last
    When three instances start one after the other and the first is told to stop
    Then the third holds the fleet

  Scenario: A named successor that is gone leaves the office to others
    When the holder hands over to an instance that does not exist
    Then another instance holds the fleet within 3 seconds

  Scenario: All instances die and the store brings everything back
    When every instance is killed while jobs run and new ones start
    Then every accepted job is completed by its successor
    And no subtask ran twice and no worker was over its capacity

  Scenario: A worker whose lists can't be had holds back only what it may run
    When the holder is killed while one worker is mute
    Then every accepted job is completed by its successor
    And no subtask ran twice and no worker was over its capacity

  Scenario: A start without an answer is settled before it is tried elsewhere
    When a worker leaves starts unanswered and carries them out late
    Then it is completed
    And no subtask ran twice and no worker was over its capacity

  Scenario: An append without an answer is repeated, not done twice
    When the store loses the answers of 3 appends while a job is submitted
    Then it is completed
    And each subtask started once

  Scenario: The store is away
    When the store is down
    Then a new job is refused with 503 or stays unsettled with 504
    And an accepted job still gets its state
    And work goes on and is completed after the store is back

  Scenario: A holder cut from the store learns from its peers that another holds
    When the holder is cut from the store while no worker answers
    Then half a second later its peers have told it, and it starts nothing

  Scenario: An instance cut from the store finds the new holder by its peers
    When the holder and another instance are cut from the store
    Then the other instance takes a job for the new holder

  Scenario: A holder goes on while the store is away for all
    When the store is down longer than others wait before they claim
    Then the holder still starts what it had accepted

  Scenario: The store forgets its history
    When the store forgets the history of the operators' records and changes the key
    Then the old key gets 401 and the new one is served

  Scenario: A worker restarts under its name
    When a worker restarts while it runs a job
    Then it is completed

  Scenario: A worker restarts while its last end waits for the store
    When a worker restarts unseen while the store does not answer
    Then it is completed
    And the subtask that ran then started twice and no other did

  Scenario: A maintenance wave empties machines first
    When a wave of three machines is asked for while lasting work runs
    Then the wave is completed within its limit of 1
    And the lasting work lost at most one subtask at a time

  Scenario: Operators see where a job runs and why it waits
    When a job larger than any worker and one that runs are asked for
    Then the command line shows the runs of one and why the other waits

  Scenario: A weaker instance leaves the office to a stronger one
    When a weak instance and a strong one start at once
    Then the strong one holds the fleet
