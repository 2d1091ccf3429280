Feature: Capacity of workers that shrinks and grows
  A worker's capacity may change while it runs. What runs goes on, but nothing starts
  that does not fit in the capacity that the worker's entry shows.

  Scenario Outline: A worker over its capacity starts nothing until there is room
    Given 1 worker of 8 cores, 64000 MiB and 6 accelerators
    And 2 subtasks of 2000, 10000 and 2 run on it
    When its <resource> shrinks to <amount>
    Then nothing is stopped
    And a subtask of 1000, 9000 and 1 waits until one of them has ended

    Examples: resources
      | resource          | amount |
      | cpu_millicores    | 3000   |
      | memory_mib        | 19000  |
      | accelerator_count | 3      |

  Scenario: Best-effort work reserves memory but no processor
    Given 1 worker of 8 cores, 64000 MiB and 2 accelerators
    And 2 subtasks of 4000, 10000 and 0 run on it
    When its cpu_millicores shrinks to 8000
    Then a best-effort subtask of 8000 and 10000 starts
    When its memory_mib shrinks to 39000
    Then a best-effort subtask of 8000 and 10000 waits

  Scenario: Nothing starts on a worker that is over its capacity in another resource
    Given 1 worker of 8 cores, 64000 MiB and 2 accelerators
    And 2 subtasks of 1000, 10 and 1 run on it
    When its accelerator_count shrinks to 1
    Then a subtask of 1000, 10 and 0 waits until one of them has ended

  Scenario: A gang starts only when the present capacity holds all of it
    Given 2 workers of 8 cores, 64000 MiB and 2 accelerators
    When the cpu_millicores of w0 shrinks to 4000
    Then no member of a gang of 4 subtasks of 4000 starts
    When the cpu_millicores of w0 grows to 8000
    Then all 4 members start with one run number

  Scenario: Work that fits no worker starts as soon as one has grown
    Given 2 workers of 8 cores, 64000 MiB and 2 accelerators
    When the memory_mib of w0 shrinks to 100
    And the memory_mib of w1 shrinks to 100
    And a subtask of 1000, 5000 and 0 is ready
    Then it waits, also 60 seconds later
    When the memory_mib of w1 grows to 5000
    Then the scheduler is woken by the entry alone and it starts on w1

  Scenario: A reservation leaves a worker that has shrunk
    Given 2 workers of 8 cores, 64000 MiB and 2 accelerators
    And each worker runs 2 subtasks of 4000, 10 and 0
    And a subtask of 8000 has waited long enough for a reservation
    When the cpu_millicores of the reserved worker shrinks to 6000
    Then a small subtask starts on it and the other worker is reserved

  Scenario: A start without an answer counts when its worker shrinks
    Given 1 worker of 8 cores, 64000 MiB and 2 accelerators
    And a start of 4000, 10 and 0 gets no answer
    When its cpu_millicores shrinks to 7000
    Then a subtask of 4000, 10 and 0 does not start
    But a subtask of 3000, 10 and 0 starts

  Scenario: A successor counts the runs that it adopts against the present capacity
    Given 1 worker of 8 cores, 64000 MiB and 2 accelerators
    And 1 subtasks of 4000, 10 and 0 run on it
    When its cpu_millicores shrinks to 6000
    And a successor takes over and the worker lists its runs
    Then a subtask of 3000, 10 and 0 does not start
    But a subtask of 2000, 10 and 0 starts

  Scenario: A restarted worker gets nothing before its own entry was read
    Given 1 worker of 8 cores, 64000 MiB and 2 accelerators
    When it restarts with 2000 millicores and lists nothing before its entry is read
    Then a subtask of 4000, 10 and 0 does not start
    And it does not start once the entry of the new incarnation is read
    But a subtask of 2000, 10 and 0 starts

  Scenario: An order to start that waits is not sent when its worker has shrunk
    Given 1 worker of 8 cores, 64000 MiB and 2 accelerators
    When 2 starts of 4000, 10 and 0 wait while its cpu_millicores shrinks to 3000
    Then none of them is sent, and both subtasks are ready again without an attempt

  Scenario: An order to start that still fits is sent although its worker has shrunk
    Given 1 worker of 8 cores, 64000 MiB and 2 accelerators
    When 2 starts of 3000, 10 and 0 wait while its cpu_millicores shrinks to 6000
    Then both are sent

  Scenario: An order made for the earlier incarnation of a worker is not sent
    Given 1 worker of 8 cores, 64000 MiB and 2 accelerators
    When 2 starts of 4000, 10 and 0 wait while it restarts with 3000 millicores
    Then none of them is sent, and both subtasks are ready again without an attempt

  Scenario: A pool one of whose workers has shrunk does not take every machine
    Given a pool of 4 machines with work for 2 of them
    When the first of its workers has no capacity left
    Then the pool needs at most 5 machines

  Scenario: A pool whose workers have shrunk needs more machines
    Given a pool of 4 machines with work for 2 of them
    When all of its workers but the first shrink to a quarter
    Then the pool needs more than 4 machines

  Scenario: An entry with a malformed capacity is no entry
    Then a worker's entry is skipped if its capacity is malformed or missing

  Scenario: Random changes of capacity violate no invariant
    Then random histories of shrinking and growing workers bring none over its capacity

  Scenario: Instances keep to capacities that change
    When workers shrink and grow while jobs of several sizes run and the leader is killed
    Then every accepted job is completed by its successor
    And no subtask ran twice and no worker was over its capacity

  Scenario: The last good entry holds when another writer adds a malformed one
    When a worker shrinks and malformed entries follow while its topic is truncated
    Then it is completed
    And no subtask ran twice and no worker was over its capacity

  # Renewals alone don't show what workers say of themselves.
  Scenario: A leader that can't read the list of workers starts nothing for long
    When the list of workers can't be read while the leader renews and a worker shrinks
    Then no subtask ran twice and no worker was over its capacity
    And starts go on within a second after the list can be read

  Scenario: A leader cut off from the store gives way before a shrunk capacity counts
    When the leader alone is cut off from the store and a worker shrinks
    Then no subtask ran twice and no worker was over its capacity
    And another instance leads

  Scenario: A worker that restarts smaller is not given what it held before
    When a worker restarts with a quarter of its capacity while work waits
    Then it is completed
    And no subtask ran twice and no worker was over its capacity
