Feature: A fault soak of real processes
  Daemons as processes on loopback, stand-ins of the platform, and faults from outside.
  By hand: python -m features.support.soak --seed 1 --seeds 50 --seconds 20

  Scenario: A seed that CI plays
    Then a soak of seed 1 over 8 seconds finds nothing

  # A restarted worker forgot ends that nobody had seen: the stand-in let calls of its
  # former life through, and the scheduler dropped runs of the new life.
  Scenario: A worker restarts between its lists and a start, seed 2
    Then a soak of seed 2 over 15 seconds finds nothing

  # The same, seen as one subtask on two workers.
  Scenario: A worker restarts between its lists and a start, seed 3
    Then a soak of seed 3 over 15 seconds finds nothing

  Scenario: A worker restarts between its lists and a start, seed 4
    Then a soak of seed 4 over 15 seconds finds nothing

  Scenario: A worker restarts between its lists and a start, seed 5
    Then a soak of seed 5 over 15 seconds finds nothing

  # A worker restarted while its link waited for the store: the next call let the new
  # life forget ends that nobody had seen. Seed 2 had shown the same once.
  Scenario: A worker restarts while the store is away, seed 77
    Then a soak of seed 77 over 15 seconds finds nothing

  # An order to start that waited for its turn was sent to the next life of its worker,
  # after the subtask had been given to another.
  Scenario: A worker restarts while starts wait for their turn, seed 125
    Then a soak of seed 125 over 15 seconds finds nothing

  # The same, seen as a start after a noted end.
  Scenario: A worker restarts while starts wait for their turn, seed 128
    Then a soak of seed 128 over 15 seconds finds nothing
