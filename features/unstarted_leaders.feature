Feature: A leader that is stopped before its first step leaves no request waiting

  Scenario: A request to a leader that never took a step is told at once to ask another
    When a leader is stopped in the pass of the loop in which it was elected
    Then the request that it got in that pass names no leader within 0.5 s
