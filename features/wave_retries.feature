Feature: A wave goes by the outcome of its own maintenance

  Scenario: A resumed wave doesn't take the outcome of an earlier maintenance for that of a retry
    Given a wave that is paused, as the maintenance of a worker failed
    When the worker serves again and the wave is resumed, and maintenance succeeds
    Then the worker was maintained twice and the wave is done
