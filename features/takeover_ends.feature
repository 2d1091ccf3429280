Feature: Ends that a successor reads while its predecessor may still act
  A former leader that a majority confirms can't know of an end that its successor has
  read from a worker's earlier life. So it repeats what a restarted worker has lost only if
  that life was over while it had its lease, and the successor takes note of ends at once.

  # Guards against TWICE: a subtask starts after it was done.
  Scenario: A former leader that a majority confirms repeats nothing that is done
    Given a leader that a majority confirms, and its successor
    When the successor reads that the leader's run is done
    And the worker restarts, and the former leader reads that
    And the third instance confirms the former leader again
    Then the former leader repeats nothing, as it may be done

  Scenario: What a worker lost while the leader had its lease is repeated without it
    Given a leader whose worker has restarted, and its successor
    When the former leader reads that a worker has restarted
    And the third instance confirms the former leader again
    Then the former leader repeats what the worker has lost

  # Guards against TWICE: a later life says nothing of ends that another leader has read.
  Scenario: A worker that is known again allows no repetition
    Given a leader that a majority confirms, and its successor
    When the successor reads that the leader's run is done
    And the former leader's worker is replaced, restarts and is known again
    And the third instance confirms the former leader again
    Then the former leader repeats nothing, as it may be done

  Scenario: A round from before a worker's restart allows no repetition
    Given a leader that a majority confirms, and its successor
    When the third instance follows the successor
    And the successor reads that the leader's run is done
    And the worker restarts, and the former leader reads that
    And the former leader's last round of questions still counts
    Then the former leader repeats nothing, as it may be done

  Scenario: Ends are noted at once when the former leader has released its term
    Given a leader that has released its term, and its successor
    When the successor reads that the leader's run is done
    Then it is done at once

  Scenario: Ends are noted at once when so many follow the successor that it is enough
    Given a leader that a majority confirms, and its successor
    When the third instance follows the successor
    And the successor reads that the leader's run is done
    Then it is done at once

  Scenario: Ends are noted without any promise when the former leader's time is over
    Given a leader that a majority confirms, and its successor
    When the former leader's time without the store is over
    And the successor reads that the leader's run is done
    Then it is done at once
