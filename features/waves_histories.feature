Feature: Waves, moves and failures keep every rule in any order

  Scenario: Random histories keep every budget and agree with the reference implementation
    When random histories of waves, moves and failures are folded
    Then the waves broke no rule

  @long
  Scenario: Many random histories keep every budget
    When 3000 random histories of waves, moves and failures are folded
    Then the waves broke no rule

  Scenario Outline: Random histories detect a mutant of the rules for waves
    When the waves are folded by a mutant in which <broken>
    Then the random histories detect the mutant

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
      | the first worker is not maintained alone |
      | failures never pause                    |
      | steps come in any order                 |
      | failed workers are not tried again      |
      | a failed step leaves the worker serving |
      | anyone may report a worker as serving   |
      | a stopped wave starts drains            |
      | the plan ignores budgets                |
      | the plan ignores workers under way      |

  Scenario: A stopped wave with failures maintains no further worker
    When a delayed writer maintains a drained worker of a paused wave with a failure
    Then the fold refuses it, but a mutant without the rule accepts it
