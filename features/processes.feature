Feature: Entry instances as processes keep their guarantees under faults

  Each row starts the stand-ins and three entry instances as processes, sends
  callers' traffic of two teams through all of them, and injects the fault while
  it runs. The stand-in workers count the requests that ran.

  Scenario Outline: <fault> while callers' requests run
    Given three entry instances as processes under load
    When the processes meet <fault>
    Then every answer of the processes is correct and within the limits
    And the processes have <lost> requests cut
    And within <recovery_s> s the processes serve every request again
    And the live processes show the same configuration version

    Examples:
      | fault                                     | lost | recovery_s |
      | an instance killed                        | some | 10         |
      | an instance terminated                    | no   | 5          |
      | an instance frozen and woken              | some | 20         |
      | the log down for six seconds              | no   | 5          |
      | the log slow by half a second             | no   | 5          |

  Scenario: The checks detect a violated guarantee
    Given three entry instances as processes under load
    When the processes meet a worker that is given the same request by another sender
    Then the processes are found to violate a guarantee
