Feature: The lease of the leader
  While it is valid no other instance can have been elected: they claim after a silence
  that is longer, counted from when they read the leader's newest record.

  # Guards against TWICE: others had read the record long before its repeat was answered.
  Scenario: A renewal that is repeated counts from its first sending
    Given a leader whose renewal is stored and not answered
    When the repeat is answered 1.1 s later
    Then the lease is over, and the next renewal makes it valid

  # Guards against TWICE: the successor's first fenced append had not arrived yet.
  Scenario: A renewal that is stored after a claim prolongs no lease
    Given a leader that was suspended while another instance claimed
    When its next renewal is acknowledged before it reads the claim
    Then the lease is over, and it steps down when it reads the claim

  # Guards against TWICE: the silence counts from the claim, not from its reading.
  Scenario: A claim that is read back late gives no lease
    Given an instance whose claim is stored and not answered
    When it reads the claim 1.2 s later
    Then it leads without a lease until a renewal was read back

  # Guards against TWICE: the newest record of the leader was the late one.
  Scenario: A claim that a late renewal of the former leader hides is known to all
    Given a claim of epoch 2 and after it a late renewal of epoch 1
    When an instance reads only the newest records
    Then it confirms no epoch before 2, and claims epoch 3

  # Guards against TWICE: with an epoch in common, workers can't tell the two apart.
  Scenario: Of two leaders with one epoch, the one that reads the other steps down
    Given an instance whose claim is stored and not answered
    When it reads the claim after another instance has claimed the same epoch
    Then it does not lead

  # Guards against TWICE: such a claim was carried out whatever others had claimed.
  Scenario: An instance whose history was dropped reads the topic before it claims
    Given an instance that suspects the leader, and whose history was dropped
    When it follows the topic
    Then it has read the whole topic, and no claim lacks the end of the topic

  # Guards against TWICE: without the store it had given leases until it stepped down.
  Scenario: A leader that is elected again waits for the leases that it gave itself
    Given a leader that acted without the store for 5 s and stepped down
    When it is elected again
    Then it counts its former right as over from when it stepped down, not before

  # Guards against TWICE and ONE: a filter that rejects answers like a dead machine.
  Scenario Outline: A leader whose machine refuses connections keeps its lease, <clock>
    Given an instance that suspects the leader, whose record it has just read
    When <first> s and then <second> s have passed
    Then it may claim only after the second time

    Examples: clocks
      | clock                        | first | second |
      | if its clock is exact        | 0.9   | 0.3    |
      | if its clock runs 2 % slow   | 1.02  | 0.1    |

  # Guards against a right that rests on fewer instances than a successor asks.
  Scenario: A new term keeps the instances that an earlier term was about to drop
    Given a leader that drops an instance and steps down before its next renewal
    When it is elected again and renews
    Then the instance is still registered, and known to the leader

  # Guards against LOST: it kept others from claiming, and could start nothing itself.
  Scenario: A leader that stores renewals and can't read them steps down
    Given a leader whose reads of the topic fail
    When it has renewed for 7 s
    Then it has stepped down

  # Guards against seconds without a leader: the renewal had the same sequence number.
  Scenario: A release is stored though a renewal is under way
    Given a leader whose renewal is stored and not answered
    When it releases its leadership
    Then the newest record of the leader is released
