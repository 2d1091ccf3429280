Feature: The fault matrix detects mutants of the product

  Scenario Outline: a mutant that <weakening>
    When the matrix runs a mutant that <weakening> under the fault <fault> at the step <step>, then <second> after <gap_s> s
    Then the matrix finds "<found>"

    Examples:
      | weakening | fault | step | second | gap_s | found |
      | judges keys by any state | frozen | sent | nothing | 0 | a withdrawn key's request ran |
      | asks for no support | paused past its leases | sent | nothing | 0 | running, limit |
      | frees given-up tasks at once | callers cancel in waves | at once | nothing | 0 | running, limit |
      | folds without a budget | a rack goes | at once | a move is asked for | 5 | were taken out |
      | maintains busy workers | nothing | wave draining | nothing | 0 | maintained while a task ran |
      | forgets ids with their holder | killed | sent | nothing | 0 | ran 2 times |
      | cuts requests on shutdown | terminated | sent | nothing | 0 | a graceful shutdown cut |
      | ignores leaving workers | a worker leaves | sent | nothing | 0 | got new work though it leaves |
      | takes an older state | log down | at once | nothing | 0 | went back to version |
