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
