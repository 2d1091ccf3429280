Feature: Demand that comes in turns
  Four pools rise and fall one after the other, on the scheduler, the plan of moves
  and a seeded load without a network. The baseline is the plan without a forecast.

  Scenario: Work waits less and fewer machines are kept than without a forecast
    When three rounds of turns are played with 3 seeds, with and without a forecast
    Then work waits at most 0.8 times as long on the whole
    And work of the first 2 seconds of a rise waits at most 0.02 s longer
    And machines are in pools for at most 0.97 times as long, with at most 1.2 times the moves

  Scenario: It is learned which pool follows which
    When three rounds of turns are played with a forecast
    Then each pool is known to be followed by the next one
    And the pool that is next has twice the machines that it would have as its turn begins

  Scenario: A turn that fails to come costs its machines for a short time only
    When the turn of b in the third round fails to come
    Then b has at most 8 machines 8 seconds after it was due
    And all work of the other pools is started

  Scenario: A successor goes on with what was learned
    When a new leader takes over in the middle of a turn in the third round
    Then each pool is known to be followed by the next one
    And the pool that is next has twice the machines that it would have as its turn begins

  Scenario: A record that can't be read is left out, and one of few bytes is stored
    When the record of turns is damaged in every way
    Then nothing is forecast
    And the whole record is stored once for each start and end of a turn

  Scenario: A pool that is removed in its turn leaves the next one no machines
    When a is removed in its turn in the third round, and that of b fails to come
    Then b has at most 8 machines 6 seconds after it was due

  Scenario: Arrivals of a time without plans are no rise
    Given a pool to which 15 jobs a second come
    When there is no plan for 3 seconds
    Then no more is expected than before, and no turn has begun
