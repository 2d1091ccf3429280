Feature: A fault soak of real processes
  Daemons as processes on loopback, stand-ins of the platform, and faults from outside.
  By hand: python -m features.support.soak --seed 1 --seeds 50 --seconds 20

  Scenario Outline: Seeded soaks keep every promise
    Then a soak of seed <seed> over <seconds> seconds finds nothing

    Examples: seeds that CI plays
      | seed | seconds |
      | 1    | 8       |
      | 2    | 8       |
