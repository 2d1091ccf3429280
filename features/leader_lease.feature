Feature: The lease of the leader
  While it is valid no other instance can have been elected: they claim after a silence
  that is longer, counted from when they read the leader's newest record.

  # Guards against TWICE: others had read the record long before its repeat was answered.
  Scenario: A renewal that is repeated counts from its first sending
    Given a leader whose renewal is stored and not answered
    When the repeat is answered 1.1 s later
    Then the lease is over, and the next renewal makes it valid
