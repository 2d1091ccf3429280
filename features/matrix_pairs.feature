Feature: Invariants hold with every fault, with pairs of faults and with random faults

  Scenario Outline: <fault> at the step <step>
    When the matrix runs the fault <fault> at the step <step>
    Then the matrix cluster keeps every invariant and recovers in time

    Examples: every other fault while a request runs
      | fault                          | step |
      | terminated                     | sent |
      | cut from the log               | sent |
      | cut towards the log            | sent |
      | cut from the log's answers     | sent |
      | cut from its peers             | sent |
      | cut towards its peers          | sent |
      | on slow links                  | sent |
      | log slow                       | sent |
      | log down                       | sent |
      | instance list stale            | sent |
      | a worker fails everything      | sent |
      | a worker dies mid-reply        | sent |
      | a worker dies before its reply | sent |
      | a worker answers late          | sent |
      | a worker leaves                | sent |
      | callers cancel in waves        | sent |
      | two operators race             | sent |
      | a rack goes                    | sent |
      | a data centre goes             | sent |
      | all instances restarted        | sent |

  Scenario Outline: <fault> and <gap_s> s later <second>
    When the matrix runs the fault <fault> and <gap_s> s later <second>
    Then the matrix cluster keeps every invariant and recovers in time

    Examples: the second hits during recovery from the first
      | fault | gap_s | second |
      | killed | 3 | log down |
      | frozen | 4 | killed |
      | paused past its leases | 4 | log down |
      | log down | 3 | killed |
      | log down | 5 | a data centre goes |
      | cut from log and peers | 5 | terminated |
      | a data centre goes | 4 | log answers lost |
      | terminated | 1 | killed |
      | all instances restarted | 2 | log down |
      | a rack goes | 5 | a move is asked for |
      | callers cancel in waves | 1 | frozen |

  Scenario: faults drawn from fixed seeds
    When the matrix runs faults drawn from fixed seeds
    Then the matrix cluster keeps every invariant and recovers in time
