Feature: Moves between pools

  Scenario Outline: Random histories detect a mutant of the rules for moves
    When the moves are folded by a mutant in which <broken>
    Then the random histories detect the mutant

    Examples: rules
      | broken                                  |
      | moves ignore the giver's budget         |
      | moves ignore the taker's budget         |
      | moves empty a pool                      |
      | a move takes a worker from a wave       |
      | the pool changes when the move starts   |
      | an aborted move still ends              |

  Scenario Outline: Moves are about as few as an exact solver finds needed
    Given 20 small fleets whose needs change every <phase> durations of a move
    When the move planner runs on them
    Then every need is met in the end and every worker is back in its home pool
    And the moves are at most <at once> times the fewest that give workers back at once
    And the moves are at most <in all> times the fewest that keep workers when it helps

    Examples: phases
      | phase | at once | in all |
      | 60    | 1.0     | 1.5    |
      | 15    | 1.0     | 1.5    |

  Scenario: Peaks of a few seconds cause no move
    Given queues that in turn peak at five times their mean for 10 s
    When the move planner runs for an hour
    Then 0 moves were made
    And without the planner's delays some moves are made

  Scenario Outline: A pool that outgrows its workers gets some and gives them back
    Given the weights of <deployment>
    And a queue whose mean doubles for half an hour
    When the move planner runs for two hours
    Then the queue is served, <moves> moves were made and all workers are back in their home pools

    Examples: deployments
      | deployment              | moves |
      | the balloon association | 4     |
      | Toča Mreže              | 4     |

  Scenario: The weights set how long moves are delayed
    Then the balloon association moves workers sooner and Toča Mreže keeps surplus workers longer

  Scenario: Buffers cover the loss of the largest failure domain
    When buffers are computed for random fleets
    Then they equal the reference sum over every domain that may be lost
