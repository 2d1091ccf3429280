Feature: Waves, moves and failures in any order keep the rules

  Scenario: Random histories keep every budget and agree with the naive rules
    When random histories of waves, moves and failures are folded
    Then the waves broke no rule

  @long
  Scenario: Many random histories keep every budget
    When 3000 random histories of waves, moves and failures are folded
    Then the waves broke no rule

  Scenario Outline: A broken rule for waves is caught by the random histories
    When the waves are folded by a copy in which <broken>
    Then the random histories catch the broken copy

    Examples:
      | broken                                  |
      | drains ignore budgets                   |
      | failed workers are not counted          |
      | moving workers are not counted          |
      | maintained workers are not counted      |
      | the loosest budget counts               |
      | two waves hold a worker                 |
      | a wave holds a moving worker            |
      | concurrency is ignored                  |
      | failures never pause                    |
      | steps come in any order                 |
      | failed workers are not tried again      |
      | a failed step leaves the worker serving |
      | anyone may report a worker as serving   |
      | a stopped wave starts drains            |
      | the plan ignores budgets                |
      | the plan ignores workers under way      |
