Feature: A soak test of real processes under faults
  Daemons run as processes on loopback with stand-ins of the platform, and faults are
  injected from outside.
  By hand: python -m features.support.soak --seed 1 --seeds 50 --seconds 20
  and with --series: processes are stopped in overlapping series, while callers use
  their open connections until the process is gone; or with --recuts: workers restart
  under their ids unnoticed and are cut off soon after.

  Scenario: A seed that CI runs
    Then a soak of seed 1 over 8 seconds finds no violation

  # A restarted worker discarded ends that no instance had processed: the stand-in
  # accepted calls to its former incarnation, and the scheduler dropped runs of the
  # new one.
  Scenario: A worker restarts between its report and a start, seed 2
    Then a soak of seed 2 over 15 seconds finds no violation

  # The same fault, seen as one subtask on two workers.
  Scenario: A worker restarts between its report and a start, seed 3
    Then a soak of seed 3 over 15 seconds finds no violation

  Scenario: A worker restarts between its report and a start, seed 4
    Then a soak of seed 4 over 15 seconds finds no violation

  Scenario: A worker restarts between its report and a start, seed 5
    Then a soak of seed 5 over 15 seconds finds no violation

  # A worker restarted while its link waited for the store: the next call made the new
  # incarnation discard ends that no instance had processed. Seed 2 had shown the same
  # once.
  Scenario: A worker restarts while the store is away, seed 77
    Then a soak of seed 77 over 15 seconds finds no violation

  # A queued start request was sent to the next incarnation of its worker, after the
  # subtask had been placed on another worker.
  Scenario: A worker restarts while starts are queued, seed 125
    Then a soak of seed 125 over 15 seconds finds no violation

  # The same fault, seen as a start after an acknowledged end. Later it failed once more:
  # a start without an answer was released when its worker restarted, but the new
  # incarnation had taken the order.
  Scenario: A worker restarts while starts are queued, seed 128
    Then a soak of seed 128 over 15 seconds finds no violation

  # Its workers took starts, and acknowledgements of ends, that were meant for the life before.
  Scenario: Workers that restart unnoticed and are cut off run nothing twice, seed 4001
    Then a soak of seed 4001 with restarts and cuts over 12 s finds none

  Scenario: Processes stopped in overlapping series cut no request
    Then a soak of seed 2 with stops in series over 12 s finds none
