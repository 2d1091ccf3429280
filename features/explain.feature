Feature: Explanation of where a job would go now
  Operators ask where a job would go and why, without sending it.

  Scenario Outline: The workers that are named are those that the next pass uses
    Given 3 workers to explain, <state>
    When <job> is explained and then handed in
    Then <count> subtasks start on the workers that were named
    And <ahead> ready steps come before
    And the rest waits because of "<reason>"
    And asking has changed nothing and left no line in the log

    Examples: worlds
      | state                                | job                   | count | ahead | reason                                      |
      | of which some run other work         | a job of 3 x 3        | 3     | 0     |                                             |
      | where others wait                    | a job of 3 x 5        | 1     | 1     | no room: cpu                                |
      | where a larger step has one reserved | a job of 3 x 5        | 2     | 1     | room kept for another step                  |
      | where room is kept for a larger step | a job of 3 x 5        | 2     | 1     | room kept for another step                  |
      | where one is kept for a suspect      | a job of 3 x 5        | 2     | 1     | kept for a subtask that may crash it        |
      | of which some run other work         | a gang of 3 x 5       | 3     | 0     |                                             |
      | of which some run other work         | a spread job of 4 x 1 | 3     | 0     | spread limit                                |
      | whose team is at its limit           | a job of 3 x 3        | 1     | 0     | the team is at its limit                    |
      | whose queue needs advice             | a job of 3 x 3        | 0     | 0     | no ticket                                   |
      | whose queue has a new pool           | a job of 3 x 3        | 0     | 0     | the new pool of the queue is not stored yet |
      | of which some run other work         | a job of 1 x 9        | 0     | 0     | no worker of the pool is large enough       |

  Scenario: Each worker that is turned down has the reason
    When a job is explained to workers that each have one hindrance
    Then each is turned down for it, and the job would start on the one that has none

  Scenario: A start is expected when the runs before it end
    Given 3 workers to explain, where others take all and end in 2 s
    When a job of 1 x 8 is explained and then handed in
    Then its start is expected in 2 s, and isn't foreseen with run times unknown

  Scenario: Too much to copy is told
    When a job is explained to a scheduler with too much to copy
    Then no step is foreseen, and the reason is told

  Scenario: The forecast of the admission is the decision, and is not noted
    When a late job is foreseen by the admission and then handed in
    Then both decisions are the same refusal, and the first one left no trace
    And a queue that asks for none, or an unknown fleet, is told

  Scenario: The command line explains a job, and names what is wrong with a request
    When operators explain jobs on the command line of a cluster
    Then the job that is handed in runs where the command said
    And what is impossible, unknown, malformed or too large is told plainly
