Feature: When refused callers should come back
  A refusal carries the time after which the caller should send its request again.

  Scenario Outline: Instances of two versions read each other's refusals
    When a refusal to come back after <time> s is sent to another instance
    Then an instance of the former version reads a refusal
    And an instance of this version reads the time <time> s

    Examples:
      | time |
      | 0.0  |
      | 2.25 |

  Scenario Outline: The answer states the time in whole seconds
    When the leader refuses a job until <time> s later
    Then the answer is 503 with Retry-After <header>

    Examples:
      | time | header |
      | 0.0  | 1      |
      | 0.2  | 1      |
      | 2.25 | 3      |
