Feature: Machines go to the pools that need them
  Plans moves between two pools, a and b, and a standby pool. Most scenarios
  run the planner without a network.

  Scenario: A pool short of machines gets idle ones of another pool first
    Given pools of 4 and 4 machines and 4 on standby
    When work in a waits for 3 more machines
    Then the idle machine that b can spare moves to a before those on standby
    And no machine of a moves

  Scenario: Machines on standby are used when no other pool can spare any
    Given pools of 2 and 2 machines and 4 on standby
    When work in a waits for 3 more machines
    Then 3 machines on standby move to a

  Scenario: A machine that runs something is not moved
    Given pools of 4 and 4 machines and 0 on standby
    And each machine of b runs a subtask
    When work in a waits for 3 more machines
    Then no machine moves

  Scenario: A machine that may still start something is not moved
    Given pools of 4 and 4 machines and 0 on standby
    And a start on each machine of b is unanswered
    When work in a waits for 3 more machines
    Then no machine moves

  Scenario: A machine that an open wave names is not moved
    Given pools of 4 and 4 machines and 4 on standby
    And an open wave includes every machine
    When work in a waits for 3 more machines
    Then no machine moves

  Scenario: A machine whose worker does not answer is not moved
    Given pools of 4 and 4 machines and 0 on standby
    And no worker of b answers
    When work in a waits for 3 more machines
    Then no machine moves

  Scenario: A machine of another kind is not moved
    Given pools of 4 and 4 machines and 4 on standby
    And the machines of a are of another kind
    When work in a waits for 3 more machines
    Then no machine moves to a

  Scenario: Idle machines move to standby once they have not been needed for a while
    Given pools of 8 and 8 machines and 0 on standby
    When both pools are idle
    Then no machine moves while the pools recently needed them
    And later all but 3 of each pool move to standby

  Scenario: Without a standby pool idle machines stay
    Given pools of 8 and 8 machines and no pool on standby
    When both pools are idle
    Then no machine moves at any time

  Scenario: A pool keeps capacity for its long-running work
    Given pools of 8 and 8 machines and 0 on standby
    When a long-running step of 6 subtasks, one per machine, runs in a
    Then a needs 7 machines

  Scenario: A machine that is being evacuated is replaced
    Given pools of 4 and 3 machines and 4 on standby
    When a long-running step of 3 subtasks, one per machine, runs in a
    And a machine of a is being evacuated
    Then one machine on standby moves to a

  Scenario: A team at its limit gets no further machine
    Given pools of 4 and 4 machines and 4 on standby
    And the team has reached its limit of running work
    When work in a waits for 3 more machines
    Then no machine moves to a

  Scenario: Rising demand is extrapolated, falling demand is not
    Then cores that rise from 10 to 20 in a second are expected to reach 35
    And cores that fall from 20 to 10 are expected to stay at 10
    And cores that jump from 1 to 50 are expected to reach 100
    And cores that rise from 10 to 20 with a step of 8 are expected to reach 23

  # A fleet of few jobs: each one raises the demand by a large part.
  Scenario: One large job takes no machines from other pools
    Given pools of 8 and 8 machines and 0 on standby
    And each pool was idle a second ago
    When a job of 5 whole machines arrives in a
    Then every subtask of the job runs and no machine moves to a

  # A fleet of hundreds of machines: a queue's peak needs a hundred more in seconds.
  Scenario: A peak of a large pool gets its machines at the rate that is allowed
    Given pools of 20 and 20 machines and 200 on standby
    When work for 120 machines waits in a, and 310 orders a second are accepted
    Then 100 machines have been ordered to a within 1 second
    And at 64 orders a second no more than 64 are ordered within 1 second

  Scenario: Long-running subtasks are packed on few machines, across every rack
    Given pools of 8 and 8 machines and 0 on standby
    When 3 long-running steps of 4 subtasks that may miss 2 run in a
    Then they run on 4 machines or fewer, at most 2 of a step on one, on both racks

  Scenario: Instances move machines from standby to a pool at peak load and back
    When more work is submitted than the pool holds, with machines on standby
    Then machines of the standby pool join and all work is completed
    And they return to standby once the work is done
    And no subtask ran twice and no worker was over its capacity

  Scenario: An unanswered move leaves the machine unused until a list shows its pool
    When the machine service carries out a move and its answer is lost
    Then the machine is used where a later list shows it

  Scenario: A successor orders no move of a machine that may just have got an order
    Given a leader that has announced an order for m1
    When a successor takes over with the stored record
    Then it may order a move of m2 at once, but none of m1 before the gap is over

  Scenario: No order is sent that was not announced, or was announced too long ago
    Given a leader that has announced an order for m1
    Then it may order a move of m1 and none of m2
    And it may no longer order a move of m1 2 seconds later

  Scenario: No order is sent while the store does not answer
    When an order is announced while the store does not answer
    Then the announcement times out after 1 second, and no move may be ordered

  Scenario: Machines are used again when their move could not be announced
    Given pools of 8 and 8 machines and 0 on standby
    When both pools are idle and the store stops answering
    Then machines are cordoned for 1 second at most, and then used again
