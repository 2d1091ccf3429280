Feature: Reading of the stored jobs at a takeover
  While no leader has taken over, nothing starts and no job is accepted.

  # Guards against leaders that never take over many jobs on a slow link.
  Scenario: A page takes longer than the other calls to the store may
    Given 6 pages of jobs in the store, each of which takes 1.5 s
    When a leader takes over
    Then it has read each job once, after at most 12 s

  # Guards against reading from the start again after each call that fails.
  Scenario: Every third page is lost
    Given 6 pages of jobs in the store, each of which takes 0.3 s
    And every third page is lost
    When a leader takes over
    Then it has read each job once, after at most 12 s

  Scenario: An earlier leader can't change what was read before a failure
    Given 6 pages of jobs in the store, each of which takes 0.3 s
    And every third page is lost
    When a leader takes over
    Then it reads no page before the fence is stored
