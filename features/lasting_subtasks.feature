Feature: Long-running subtasks start again soon
  A long-running subtask whose run is over starts again as soon as a worker may take it.
  What keeps it waiting is logged.

  Scenario Outline: Each second that a long-running subtask waits has its reason
    Given a long-running subtask that waits because <hindrance>
    When 5 seconds pass
    Then the log names "<reason>" once a second, from 2 seconds on

    Examples: hindrances
      | hindrance                              | reason                                                       |
      | every worker with room is cordoned     | no worker of the pool may start it                           |
      | a worker has not answered its leader   | a worker of the pool has not answered since the takeover     |
      | its team is at its limit               | the team is at its limit                                     |
      | its job is held back                   | the job is held back                                         |
      | another leader may have been elected   | its last run may go on, as another leader may have been elected |
      | its start got no answer                | the worker has not answered its start                        |
      | its worker is silent                   | the worker that runs it is silent                            |
      | its stop got no answer                 | its last run has not answered a stop                         |
      | it may crash its worker                | it may crash its worker, and waits for one or for the store  |
      | the leader may start nothing           | the leader may not start anything at present                 |

  Scenario: Operators see which workers turn a waiting step down
    Given a long-running subtask that waits because every worker with room is cordoned
    When 5 seconds pass
    Then its job's report names "spread limit (2), cordoned (1)"

  # Guards against waits that begin anew with each leader: no start for over 9 s.
  Scenario Outline: Leaders that follow each other don't keep a lost subtask waiting
    Given a long-running subtask on one of 3 workers, and 4 instances
    When its worker is lost and each leader is stopped after <term> seconds, <others>
    Then the subtask starts again within 9 seconds of the loss
    And no worker runs it beside another

    Examples: terms
      | term | others                               |
      | 3.0  | the next one being up for long       |
      | 2.0  | the next one being up for long       |
      | 1.0  | the next one being up for long       |
      | 0.7  | the next one being up for long       |
      | 3.0  | the next one having just started     |
      | 2.0  | the next one having just started     |
      | 1.0  | the next one having just started     |
      | 0.7  | the next one having just started     |
      | 2.0  | after the first of them was killed   |
      | 0.7  | after the first of them was killed   |
      | 0.35 | after the first of them was killed   |

  # Guards against a second run: the last leader that reached the worker renewed its lease.
  Scenario Outline: A worker that a leader of the series has reached is waited for
    Given a long-running subtask on one of 3 workers, and 4 instances
    When each leader is stopped after <term> seconds, and the worker is cut off after change <turn>
    Then no worker runs it beside another

    Examples: turns
      | turn | term |
      | 1    | 2.0  |
      | 2    | 2.0  |
      | 3    | 2.0  |
      | 1    | 1.0  |
      | 3    | 1.0  |

  # Guards against cordons that begin anew with each leader.
  Scenario Outline: Leaders that follow each other don't keep a machine from all work
    Given a long-running subtask on one of 2 workers, and 4 instances
    And an order for the machine of the other worker may have been sent
    When its worker is lost and each leader is stopped after <term> seconds, <others>
    Then the subtask starts again within 9 seconds of the loss
    And no order for that machine was allowed for 3 seconds after the first change

    Examples: terms
      | term | others                           |
      | 1.5  | the next one being up for long   |
      | 1.5  | the next one having just started |
      | 0.7  | the next one having just started |

  # Guards against drains that wait for subtasks that wait for the drained machines.
  Scenario: Machines that a wave drains are given back to subtasks that fit nowhere else
    Given two long-running steps, of which each worker runs one subtask, and a wave
    When a worker that runs one of each is lost while the wave drains those with room
    Then both subtasks start again within 9 seconds of the loss
    And the wave has ordered no upkeep of a machine that runs anything
    And the wave is completed once another worker is there

  # Guards against waits without an end in a quiet fleet: no event causes a pass.
  Scenario Outline: The end of a hindrance causes a scheduling pass
    Given one of two long-running subtasks waits as the <hindrance>
    When 5 seconds pass in which only the <end> ends
    Then a scheduling pass is due

    Examples: hindrances
      | hindrance                    | end      |
      | worker with room is ejected  | ejection |
      | machine with room is drained | drain    |

  Scenario Outline: A list of workers that can't be read tells nothing
    Given a leader whose predecessor told of a worker in a record with <fault>
    Then it knows no end of earlier leases from the record

    Examples: faults
      | fault              |
      | other bytes        |
      | an older epoch     |
      | a time in words    |
      | an endless time    |
      | a time that is nan |
      | no epoch           |
      | only three parts   |
