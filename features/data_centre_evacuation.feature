Feature: Nothing starts in an evacuated data centre
  Half of the workers are in data centre x, the others in y, and x is evacuated.

  Scenario: Work starts in the other data centre only, until it is taken back
    Given 4 workers of 8 cores in data centres x and y
    When x is evacuated and a job of 6 subtasks of 4 cores arrives
    Then 4 subtasks start, all in y
    And the other 2 start in x once the evacuation is taken back

  Scenario: A gang waits for workers that may take it
    Given 4 workers of 8 cores in data centres x and y
    When x is evacuated and a gang of 3 subtasks of 8 cores arrives
    Then 0 subtasks start, all in y
    And the other 3 start in x once the evacuation is taken back

  Scenario: A subtask that may have crashed a worker starts in the other data centre
    Given 4 workers of 8 cores in data centres x and y
    When a worker of x crashes with a subtask and x is evacuated
    Then 1 subtasks start, all in y

  Scenario: A pool with all its workers there waits, and its successor leader too
    Given 4 workers of 8 cores in data centres x and x
    When x is evacuated and a job of 6 subtasks of 4 cores arrives
    And a successor that knows of the evacuation takes over
    Then 0 subtasks start, all in y
    And the other 6 start in x once the evacuation is taken back

  Scenario: Long-running work is not moved to an evacuated data centre
    Given 2 workers of 8 cores in data centres x and y
    When a long-running subtask runs in y and x is evacuated
    Then its worker's maintenance does not stop it before x is open again

  Scenario: A start that waits to be sent is not sent to an evacuated data centre
    Given 2 workers of 8 cores in data centres x and x
    When x is evacuated while a start waits to be sent
    Then the start is refused and its subtask is ready again

  Scenario: Machines of an evacuated data centre do not count and do not move
    Given pools of 4 and 4 machines and 4 on standby
    When the data centre of 2 machines of each pool is evacuated
    And work in a waits for 3 more machines
    Then no machine of the evacuated data centre moves
    And a has 2 machines, and gets others

  Scenario: Invalid requests cost nothing, and a full read ends what is gone
    When records evacuate x, y and an invalid data centre
    Then x and y are evacuated
    And only y is after a full read without the record of x
    And none is after the record of y came without a value

  Scenario: Instances keep to an evacuation across a change of the leader
    When the data centre of a worker is evacuated while jobs arrive
    Then jobs are completed elsewhere, also by a successor
    And the worker is used again once the truncated record is gone
    And no subtask ran twice and no worker was over its capacity
