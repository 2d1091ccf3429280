Feature: Orders to machines after a change of leader
  A successor knows the machine of a worker whose entry has expired.

  # Guards against AVAIL: such a machine was taken for drained, and its upkeep ordered.
  Scenario: A machine whose worker is not listed is not taken for drained
    Given a long-running subtask runs on a worker whose machine a wave names
    When a new leader takes over while the entry of that worker has expired
    Then the upkeep of the machine is not ordered while the subtask runs there
    And it is ordered once the worker has answered and the subtask was moved

  # Guards against starts on a machine whose order by the former leader is under way.
  Scenario: Nothing starts on a machine that may have got an order once it is listed
    Given a long-running subtask runs on a worker whose machine a wave names
    When a new leader takes over while the entry of that worker has expired
    And the former leader may have sent an order for the machine
    Then the worker gets no starts when its entry is back

  Scenario: A list of workers without machines can be read
    Given a long-running subtask runs on a worker whose machine a wave names
    When a new leader takes over that finds no record of machines
    Then it knows the worker, and learns of its machine when its entry is back

  Scenario: A stored worker gives way to the one that its machine has now
    Given a long-running subtask runs on a worker whose machine a wave names
    When a new leader takes over after the machine has got a new worker
    Then the new worker counts as the one on the machine

  Scenario: A stored worker does not change what pools need and may give away
    Given a pool with idle machines, of which one had another worker before
    Then pools need the same machines as without that worker, and as many may move

  # Guards against ONE: the first announcement of each leader replaced all earlier ones.
  Scenario: Announcements of the leader before last are known
    Given a leader has announced an order for a machine
    When the next leader announces one for another machine, and a third takes over
    Then the third leader sends no orders for either machine in its gap

  Scenario: Announcements are dropped once they matter to nobody
    Given a leader has announced an order for a machine
    When the next leader announces one for another machine after its gap
    Then a third leader sends no orders in its gap for the other machine only

  # Guards against moves and waves that wait for orders that were long over.
  Scenario: Announcements are dropped though no other follows them
    Given a leader has announced an order for a machine
    When it announces nothing for 5 s and its gap
    Then its record is stored anew, and a successor sends orders for all machines at once

  Scenario: Announcements of an earlier leader are dropped after the gap
    Given a leader has announced an order for a machine
    When its successor announces nothing in its gap
    Then its record is stored anew, and a successor sends orders for all machines at once
