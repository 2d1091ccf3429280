Feature: Workers that restart under their ids run nothing twice
  Real instances run beside workers whose clocks begin anew with each life. Random histories
  restart workers unnoticed, cut them off soon after, lose the answers of their starts, and
  kill, freeze, stop and cut off leaders meanwhile.

  # Guards against TWICE: a start whose leader is killed before it knows the outcome.
  Scenario Outline: Nothing runs twice in histories in which successors repeated a start, seed <seed>
    Then in the history of seed <seed> nothing runs twice, and all jobs complete

    Examples: seeds
      | seed |
      | 2021 |
      | 2034 |
      | 3016 |
      | 3018 |

  Scenario: Nothing runs twice in random histories
    Then in 6 histories from seed 5001 on nothing runs twice, and all jobs complete

  Scenario Outline: The histories tell when a rule on the lives of workers is left out
    Then something runs twice in one of the histories <seeds> if <rule>

    Examples: rules
      | rule                    | seeds            |
      | every answer is a proof | 1006, 1012, 1028 |
      | granted leases are all  | 2021, 2034, 3016 |

  Scenario: Nothing runs twice in wide histories, with late orders and restarts in series
    Then in the wide histories 32, 35, 44 nothing runs twice, and all jobs complete

  Scenario Outline: The wide histories tell when a rule on the lives of workers is left out
    Then something runs twice in one of the wide histories <seeds> if <rule>

    Examples: rules
      | rule                    | seeds |
      | every answer is a proof | 32    |
      | granted leases are all  | 44    |

  # Guards against TWICE: only the leader knew of the start, and it is killed.
  Scenario Outline: Long-running subtasks run nowhere twice either, seed <seed>
    Then in the history of seed <seed> nothing runs twice, and all jobs complete

    Examples: seeds
      | seed |
      | 1003 |
      | 1047 |

  # Guards against TWICE: no leader knows of a late start once its sender has been replaced.
  Scenario: A late start of a former leader runs nothing twice, wide seed 412
    Then in the wide histories 412 nothing runs twice, and all jobs complete
