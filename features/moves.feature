Feature: Moves between pools

  Scenario Outline: A broken rule for moves is caught by the random histories
    When the moves are folded by a copy in which <broken>
    Then the random histories catch the broken copy

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
    When the planner of moves serves them
    Then every need is met in the end and every worker is home again
    And the moves are at most <at once> times the fewest that give workers back at once
    And the moves are at most <in all> times the fewest that keep workers when it helps

    Examples: phases
      | phase | at once | in all |
      | 60    | 1.0     | 1.5    |
      | 15    | 1.0     | 1.5    |

  Scenario: Peaks of seconds move nothing
    Given queues that in turn peak at five times their mean for 10 s
    When the planner of moves runs for an hour
    Then 0 moves were made
    And without the patience of the planner some moves are made

  Scenario Outline: A pool that outgrows its workers gets some and gives them back
    Given the weights of <deployment>
    And a queue whose mean doubles for half an hour
    When the planner of moves runs for two hours
    Then the queue is served, <moves> moves were made and all workers are home again

    Examples: deployments
      | deployment              | moves |
      | the balloon association | 4     |
      | Toča Mreže              | 4     |

  Scenario: The weights decide how patient moves are
    Then the balloon association moves sooner and Toča Mreže holds on for longer

  Scenario: Buffers cover the loss of the largest failure domain
    When buffers are computed for random fleets
    Then they equal the naive sum over every domain that may be lost
