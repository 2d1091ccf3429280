Feature: Machines go to the pools that need them
  The plan alone, without a network. Two pools, a and b, and one on standby.

  Scenario: A pool that lacks machines gets idle ones of another pool first
    Given pools of 4 and 4 machines and 4 on standby
    When work waits for 3 machines more in a
    Then the idle machine that b can spare moves to a before those on standby
    And no machine of a moves

  Scenario: Machines on standby come when no other pool can give
    Given pools of 2 and 2 machines and 4 on standby
    When work waits for 3 machines more in a
    Then 3 machines on standby move to a

  Scenario: A machine that runs something is not moved
    Given pools of 4 and 4 machines and 0 on standby
    And each machine of b runs a subtask
    When work waits for 3 machines more in a
    Then no machine moves

  Scenario: A machine that may still start something is not moved
    Given pools of 4 and 4 machines and 0 on standby
    And a start without an answer is open on each machine of b
    When work waits for 3 machines more in a
    Then no machine moves

  Scenario: A machine that an open wave names is not moved
    Given pools of 4 and 4 machines and 4 on standby
    And an open wave names every machine
    When work waits for 3 machines more in a
    Then no machine moves

  Scenario: A machine whose worker does not answer is not moved
    Given pools of 4 and 4 machines and 0 on standby
    And no worker of b answers
    When work waits for 3 machines more in a
    Then no machine moves

  Scenario: A machine of another kind is not moved
    Given pools of 4 and 4 machines and 4 on standby
    And the machines of a are of another kind
    When work waits for 3 machines more in a
    Then no machine moves to a

  Scenario: Idle machines rest once they have not been needed for a while
    Given pools of 8 and 8 machines and 0 on standby
    When both pools are idle
    Then no machine moves while the pools needed them a short time ago
    And later all but 3 of each pool move to standby

  Scenario: Without a standby pool nothing rests
    Given pools of 8 and 8 machines and no pool on standby
    When both pools are idle
    Then no machine moves at any time

  Scenario: A pool keeps places for its lasting work
    Given pools of 8 and 8 machines and 0 on standby
    When a lasting step of 6 subtasks, one on a machine, runs in a
    Then a needs 7 machines

  Scenario: A machine that is being emptied is replaced
    Given pools of 4 and 3 machines and 4 on standby
    When a lasting step of 3 subtasks, one on a machine, runs in a
    And a machine of a is being emptied
    Then one machine on standby moves to a

  Scenario: A team at its limit calls for no machine
    Given pools of 4 and 4 machines and 4 on standby
    And the team may not have more running
    When work waits for 3 machines more in a
    Then no machine moves to a

  Scenario: A rise is taken to go on, a fall is not
    Then cores that rise from 10 to 20 in a second are expected to reach 35
    And cores that fall from 20 to 10 are expected to stay at 10
    And cores that jump from 1 to 50 are expected to reach 100

  Scenario: Lasting subtasks lie on few machines, and on every rack
    Given pools of 8 and 8 machines and 0 on standby
    When 3 lasting steps of 4 subtasks that may miss 2 run in a
    Then they lie on 4 machines or fewer, at most 2 of a step on one, on both racks

  Scenario: Instances move machines from standby to a pool in its peak and back
    When more work is submitted than the pool holds, with machines on standby
    Then machines of the standby pool join and all work is completed
    And they rest again once the work is done
    And no subtask ran twice and no worker was over its capacity

  Scenario: A move without an answer leaves the machine unused until a list tells
    When the machine service carries out a move and its answer is lost
    Then the machine is used where a later list shows it

  Scenario: A successor leaves machines alone that may just have got an order
    Given a holder that has announced an order for m1
    When a successor takes over with the stored record
    Then it may give no order for m1 before the gap is over, but for m2 at once

  Scenario: No order is sent that was not announced, or was announced long ago
    Given a holder that has announced an order for m1
    Then it may give an order for m1 and none for m2
    And it may give none for m1 2 seconds later

  Scenario: No order is sent while the store does not answer
    When an order is announced while the store does not answer
    Then it is given up after 1 second, and nothing may be ordered

  Scenario: Machines are used again when their move could not be announced
    Given pools of 8 and 8 machines and 0 on standby
    When both pools are idle and the store does not answer any more
    Then machines are closed to work for 1 second at most, and then used again
