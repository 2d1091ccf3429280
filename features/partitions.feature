Feature: Parts of the system that stay together while they are cut off
  Real processes, with proxies on their links to the store, to each other and to workers.
  By hand: python -m features.support.soak --partitions --seed 1 --seeds 50 --seconds 30
  and the same with --refusals in place of --partitions

  # Guards against TWICE: a former leader went on renewing the leases of workers that
  # only its data centre reached, while its successor took them for over.
  Scenario Outline: A leader, a peer and a worker are cut off from the others together
    When the leader's data centre is cut off for 10 s, the store <store> s later
    Then no subtask ran twice, and the job is completed

    Examples: orders of loss
      | store |
      | 0     |
      | 1.5   |

  # Guards against TWICE: the former leader still reaches the worker, but nobody else.
  Scenario: A leader hears nothing of the store and of the other data centre
    When the leader's data centre is sent nothing by the others for 10 s
    Then no subtask ran twice, and the job is completed

  # Guards against TWICE: the leader took refused connections for ended processes.
  Scenario Outline: No second run when the other data centre refuses connections
    When links between data centres refuse for 10 s, the store is lost <store> s later
    Then no subtask ran twice, and the job is completed

    Examples: orders of loss
      | store |
      | 0     |
      | 1.5   |

  # Guards against TWICE: the leader was confirmed by all but one, which it didn't know.
  Scenario: No second run when a new instance claims beside a leader without the store
    When an instance starts for the first time while all others are cut off for 20 s
    Then no subtask ran twice, and the job is completed

  # Guards against TWICE: the leader took workers for lost that its successor reached.
  Scenario: No second run on an idle worker that only the former leader reaches
    When the leader and two peers keep only an idle worker for 10 s
    Then no subtask ran twice, and the job is completed

  # Guards against TWICE: a successor's own successor had reached those workers.
  Scenario: No second run of what ran on workers that a cut-off successor never reached
    When the leader is told to stop, and its successor loses busy workers and the store
    Then no subtask ran twice, and the job is completed

  Scenario: Random partitions, seed 1
    Then a soak of seed 1 with partitions over 20 s finds no violation

  # Guards against TWICE in the two partitions above, with other faults beside them.
  Scenario: Random partitions with refusals, first starts and frozen leaders, seed 410
    Then a soak of seed 410 with refusals over 20 s finds no violation
