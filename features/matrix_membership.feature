Feature: Invariants hold with one fault at one step of a move, a wave or membership

  Scenario Outline: <fault> at the step <step>
    When the matrix runs the fault <fault> at the step <step>
    Then the matrix cluster keeps every invariant and recovers in time

    Examples: of a move and a wave
      | fault                  | step             |
      | killed                 | move told        |
      | frozen                 | move told        |
      | cut from log and peers | move told        |
      | log answers lost       | move told        |
      | killed                 | move drained     |
      | frozen                 | move drained     |
      | cut from log and peers | move drained     |
      | log answers lost       | move drained     |
      | killed                 | wave draining    |
      | frozen                 | wave draining    |
      | cut from log and peers | wave draining    |
      | log answers lost       | wave draining    |
      | killed                 | wave maintaining |
      | frozen                 | wave maintaining |
      | cut from log and peers | wave maintaining |
      | log answers lost       | wave maintaining |
      | killed                 | wave done        |
      | frozen                 | wave done        |
      | cut from log and peers | wave done        |
      | log answers lost       | wave done        |

    Examples: of joining, handing over and leaving
      | fault                  | step              |
      | killed                 | joining           |
      | frozen                 | joining           |
      | cut from log and peers | joining           |
      | log answers lost       | joining           |
      | killed                 | claiming          |
      | frozen                 | claiming          |
      | cut from log and peers | claiming          |
      | log answers lost       | claiming          |
      | killed                 | transfer appended |
      | frozen                 | transfer appended |
      | cut from log and peers | transfer appended |
      | log answers lost       | transfer appended |
      | killed                 | memory travelling |
      | frozen                 | memory travelling |
      | cut from log and peers | memory travelling |
      | log answers lost       | memory travelling |
      | killed                 | leaving           |
      | frozen                 | leaving           |
      | cut from log and peers | leaving           |
      | log answers lost       | leaving           |
      | killed                 | left              |
      | frozen                 | left              |
      | cut from log and peers | left              |
      | log answers lost       | left              |
