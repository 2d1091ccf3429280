Feature: Starts that a later life of their worker carries out run nothing twice
  A start without an answer may be carried out seconds later. The worker may have restarted
  under its id by then, and more than once.

  # Guards against TWICE: a refusal ends with the life that took it.
  Scenario Outline: A start that comes <late> s late, after a refusal's life, runs nothing twice
    When a start gets no answer, and its worker restarts and is read by the leader
    And the worker restarts again, and first gets that start, <late> s late
    Then that start was carried out by a later life, and nothing runs on two workers
    And the job completes

    Examples: delays
      | late |
      | 4    |
      | 8    |
      | 12   |

  # Guards against TWICE: a stop that was acknowledged ends with the life that did so.
  Scenario: A start that comes 8 s late, after one restart, runs nothing twice
    When a start gets no answer, and its worker goes on answering other calls
    And the worker restarts, and first gets that start, 8 s late
    Then that start was carried out by a later life, and nothing runs on two workers
    And the job completes

  # Guards against TWICE: a late start comes after all leases of the known lives are over.
  Scenario Outline: A start that comes <late> s late to a worker that is cut off runs nothing twice, <listed>
    When a start gets no answer, and its worker restarts cut off from all instances, <listed>
    And the worker restarts again, and first gets that start, <late> s late
    Then that start was carried out by a later life, and nothing runs on two workers
    And the job completes

    Examples: delays
      | late | listed                  |
      | 8    | its former life listed  |
      | 8    | its present life listed  |
      | 12   | its present life listed  |

  # Guards against TWICE: the next life may carry the first start out after that end.
  Scenario: The end of a repeated start is acknowledged once the first can't be carried out
    Given a scheduler with 2 workers of 8 cores
    When a start gets no answer and the worker does not list it
    And it is sent again, and its end as done is read
    Then the job is completed, and that end isn't acknowledged for 12 s
    And later it is acknowledged

  # Guards against LOST: it has to run again within seconds.
  Scenario: A long-running subtask runs again at once on the worker that may start it late
    Given a scheduler with 2 workers of 8 cores
    When a long-running start gets no answer, and the repeated one is lost with its worker's life
    Then the start is sent to that worker once more, under its number, and to no other
    And after another restart nothing starts it for 12 s, and then a worker does

  # Guards against waves that wait, and against ROUTE: a worker may have changed.
  Scenario Outline: A start is not sent again to a worker that <change>
    Given a scheduler with 2 workers of 8 cores
    When a start gets no answer, and its worker <change>
    Then the run is ordered to stop, and starts nowhere

    Examples: changes
      | change                |
      | drains                |
      | is cordoned           |
      | is of another kind    |
      | is evacuated          |

  # Guards against LOST: it has to run again within seconds.
  Scenario: A long-running subtask that fails after a repeated start runs again at once
    Given a scheduler with 2 workers of 8 cores
    When a long-running start gets no answer, and the repeated one fails
    Then it starts on that worker again, under a higher number

  # Guards against BUDGET: the next life may start it once more.
  Scenario: A failed end of a repeated start is not acknowledged either
    Given a scheduler with 2 workers of 8 cores
    When a start gets no answer and the worker does not list it
    And it is sent again, and its end as failed is read
    Then that end isn't acknowledged for 12 s
    And later it is acknowledged

  # Guards against TWICE: the worker may come back under its id.
  Scenario Outline: <kind> subtask whose worker is <gone> starts elsewhere after <least> to <most> s
    Given a scheduler with 2 workers of 8 cores
    When the start of <kind> subtask gets no answer, and its worker is <gone>
    Then it starts on the other worker after <least> to <most> s

    Examples: workers
      | kind           | gone             | least | most |
      | an ordinary    | no longer listed | 12    | 16   |
      | a long-running | no longer listed | 6     | 7    |
      | an ordinary    | replaced         | 0     | 0.1  |
      | an ordinary    | moved            | 0     | 0.1  |

  # Guards against TWICE: a late call gives the next life a lease up to the limit.
  Scenario: A start that comes late renews the lease of what runs in a later life
    When a later life gets a start 11 s late, and is cut off with other runs
    Then these run on no other worker as well
