Feature: Takeovers beside runs of ended jobs
  The runs of an ended job take their workers' room until they have stopped. Each leader
  counts them, also if it follows soon after another.

  # Guards against LIMIT: instances stopped in turn while workers stop runs of ended jobs.
  Scenario: The second successor counts a run that is being stopped
    Given 2 workers that each stop a run of a cancelled job
    When the next leader takes over
    And the first worker reports
    And the first worker reports the end of its run
    And the next leader takes over
    And each worker reports
    Then a further job starts on the first worker

  # A cancel that arrives during a takeover is carried out before any worker reports.
  Scenario: The second successor counts runs that its predecessor had not seen
    Given 2 workers that each run a subtask
    When the next leader takes over
    And the inherited job is cancelled
    And the next leader takes over
    And each worker reports
    Then a further job starts on no worker
    And the two runs are stopped

  Scenario: The definition of an ended job goes once no worker can run it
    Given 2 workers that each stop a run of a cancelled job
    When the next leader takes over
    And both runs have ended
    And the first worker reports
    Then the store has the definition
    When each worker reports
    Then the store doesn't have the definition

  # Guards against a second life of a job: its definition outlived its state.
  Scenario: A cancelled job that is forgotten stays cancelled
    Given 2 workers that each stop a run of a cancelled job
    When the next leader takes over
    And both runs have ended
    And the job's state is forgotten while one worker is silent
    And the next leader takes over
    Then the job is not known
