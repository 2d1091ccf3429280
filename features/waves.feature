Feature: Maintenance waves within availability budgets

  Scenario Outline: A refused wave reports all findings with their places
    When a wave is started with <fault>
    Then the wave is refused at <places>

    Examples:
      | fault                 | places                                                   |
      | no target             | operations[2].wave.pool_id                               |
      | an unknown pool       | operations[2].wave.pool_id                               |
      | two unknown workers   | operations[2].wave.worker_ids[0] operations[2].wave.worker_ids[1] |
      | bad limits            | operations[2].wave.concurrency_limit_count operations[2].wave.failure_limit_count |
      | bad hours             | operations[2].wave.working_hours.start_hour operations[2].wave.working_hours.end_hour |

  Scenario Outline: A wave ends soon after its lower bound
    Given a wave over <pools> pools of <size> with a budget of <budget>
    And drains of about <drain> s and maintenance of about <maintenance> s
    When the wave is run with 20 seeds
    Then the wave takes at most 1.2 times its lower bound on <measure>
    And the wave breaks no budget and writes no step that the fold refuses

    Examples: fleets
      | pools | size | budget | drain | maintenance | measure |
      | 5     | 6    | 1      | 60    | 120         | worst   |
      | 5     | 6    | 1      | 60    | 600         | worst   |
      | 5     | 6    | 1      | 120   | 120         | worst   |
      | 5     | 6    | 2      | 120   | 120         | worst   |
      | 5     | 6    | 2      | 60    | 120         | worst   |
      | 10    | 18   | 2      | 60    | 120         | worst   |

  Scenario Outline: The forecast is close to the actual end of the wave
    Given a wave over 5 pools of 6 with a budget of <budget>
    When the wave is run with 10 seeds
    Then its forecasts at the start and halfway are within 20 % of the end

    Examples: budgets
      | budget |
      | 1      |
      | 2      |

  Scenario Outline: Correlated failures pause the wave
    Given a wave over 5 pools of 6 with a budget of <budget>
    When <broken> don't return from maintenance
    Then the wave is <status> after at most <lost> lost workers

    Examples:
      | budget | broken              | status | lost |
      | 1      | all workers         | paused | 2    |
      | 2      | all workers         | paused | 2    |
      | 1      | the first rack      | paused | 4    |
      | 2      | the first rack      | paused | 4    |
      | 2      | the first worker    | done   | 1    |

  Scenario: A paused wave with failures releases its drained workers
    Given a wave over 5 pools of 6 with a budget of 2
    When all workers don't return from maintenance
    Then no worker of the wave is held any more
    And resuming the wave retries the failed workers

  Scenario Outline: Waves overlap with each other, with moves and with failures
    Given two waves and a move over 5 pools of 6 with a budget of <budget>
    When workers fail at random while the waves run, with 20 seeds
    Then the waves broke no budget and all ended

    Examples:
      | budget |
      | 1      |
      | 2      |

  Scenario Outline: Drains start in working hours only
    Then a wave with hours <start> to <end> <verb> drains at <hour>

    Examples:
      | start | end | hour | verb          |
      | 8     | 16  | 7    | doesn't start |
      | 8     | 16  | 8    | starts        |
      | 8     | 16  | 16   | doesn't start |
      | 22    | 6   | 23   | starts        |
      | 22    | 6   | 5    | starts        |
      | 22    | 6   | 6    | doesn't start |

  Scenario Outline: A forecast counts working hours only
    Then <work> h of work at <now> o'clock in hours <start> to <end> end after <hours> h

    Examples:
      | work | now | start | end | hours |
      | 4    | 9   | 8     | 16  | 4     |
      | 7    | 9   | 8     | 16  | 7     |
      | 8    | 9   | 8     | 16  | 24    |
      | 16   | 9   | 8     | 16  | 48    |
      | 1    | 18  | 8     | 16  | 15    |
      | 2    | 23  | 22    | 6   | 2     |
      | 30   | 0   | 0     | 24  | 30    |

  Scenario Outline: A drain interrupts no request
    Given a task of a <policy> queue with 60 s to drain that is <task>
    Then a drain tells it to <before> after 10 s and to <after> after 60 s

    Examples:
      | policy     | task                              | before     | after           |
      | wait       | repeatable with time to run again | wait       | stop-and-repeat |
      | wait       | repeatable but nearly due         | wait       | wait            |
      | wait       | not repeatable                    | wait       | wait            |
      | checkpoint | able to checkpoint                | checkpoint | wait            |
      | checkpoint | not repeatable                    | wait       | wait            |
      | never-cut  | repeatable with time to run again | wait       | wait            |
