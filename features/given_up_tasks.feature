Feature: A task that was given up stays charged until it has ended

  Scenario Outline: A given-up task isn't taken for ended by a report that <report>
    Given an entry instance whose worker stops tasks after 3 s and sends a report that <report>
    When a caller leaves 0.5 s after its task has started
    Then the task stays charged until it has ended, and at most <longer> s longer

    Examples:
      | report                                  | longer |
      | was made when it was asked for          | 2.5    |
      | was made 2 s before                     | 2.5    |
      | another worker at the same address made | 8.0    |

  Scenario: The lease of a task that starts at its body's end isn't counted from its head
    Given an entry instance whose worker is cut off and goes on with its tasks
    When a caller that sends its body for 4 s leaves 0.5 s after its task has started
    Then the task stays charged until it has ended, and at most 2.5 s longer

  Scenario: The lease of a task whose renewal took 1.8 s to arrive isn't counted from its sending
    Given an entry instance whose worker gets renewals after 1.8 s and is cut off then
    When a caller leaves 6 s after its task has started
    Then the task stays charged until it has ended, and at most 2.5 s longer
