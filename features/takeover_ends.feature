Feature: Ends that a successor reads while its predecessor may still act
  A former leader that a majority confirms repeats what a restarted worker has lost. It
  can't know of an end that its successor has read, so the successor takes note of ends
  only once no later round of questions can confirm the former leader.

  # Guards against TWICE: a subtask starts after it was done.
  Scenario: A former leader that a majority confirms repeats nothing that is done
    Given a leader that a majority confirms, and its successor
    When the successor reads that the leader's run is done
    And the worker restarts, and the former leader reads that
    And the third instance confirms the former leader again
    Then the former leader repeats what the worker has lost, which isn't done

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

  Scenario: A run whose end is not noted yet has not vanished
    Given a leader that a majority confirms, and its successor
    And the successor has read that the leader's run goes on
    When the successor reads that the leader's run is done
    Then it isn't done, and its run still counts

  Scenario: A subtask whose end is not noted yet isn't started by the successor
    Given a leader that a majority confirms, and its successor
    When the successor reads that the leader's run is done
    Then the subtask isn't started anew before its end is noted

  Scenario: Ends of the successor's own runs are noted at once
    Given a leader that a majority confirms, and its successor
    And the successor has read that the leader's run goes on
    When the successor's own run ends on the worker
    Then that one is done at once
    And an end of the leader's run after it is not
