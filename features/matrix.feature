Feature: Invariants hold with one fault at one step of a request or a patch

  Real entry instances and the stand-ins run on one paused clock. Each cell checks
  limits, budgets, outcomes, keys and versions at every instance, and recovery.

  Scenario Outline: <fault> at the step <step>
    When the matrix runs the fault <fault> at the step <step>
    Then the matrix cluster keeps every invariant and recovers in time

    Examples: of a request
      | fault                  | step      |
      | killed                 | waiting   |
      | frozen                 | waiting   |
      | cut from log and peers | waiting   |
      | log answers lost       | waiting   |
      | paused past its leases | waiting   |
      | killed                 | sent      |
      | frozen                 | sent      |
      | cut from log and peers | sent      |
      | log answers lost       | sent      |
      | paused past its leases | sent      |
      | killed                 | answered  |
      | frozen                 | answered  |
      | cut from log and peers | answered  |
      | log answers lost       | answered  |
      | paused past its leases | answered  |
      | killed                 | forwarded |
      | frozen                 | forwarded |
      | cut from log and peers | forwarded |
      | log answers lost       | forwarded |
      | paused past its leases | forwarded |

    Examples: of a patch
      | fault                  | step                |
      | killed                 | patch submitted     |
      | frozen                 | patch submitted     |
      | cut from log and peers | patch submitted     |
      | log answers lost       | patch submitted     |
      | killed                 | patch appended      |
      | frozen                 | patch appended      |
      | cut from log and peers | patch appended      |
      | log answers lost       | patch appended      |
      | killed                 | patch folded at one |
      | frozen                 | patch folded at one |
      | cut from log and peers | patch folded at one |
      | log answers lost       | patch folded at one |
