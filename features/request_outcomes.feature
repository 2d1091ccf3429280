Feature: What the caller is told is true, whatever fails at one step of its request
  Each outline names the fault, the step and the outcome that it may have. After
  every request the ledger of the workers must agree with what was told: "not-run"
  never ran, "complete" is whole and the request's own, and a request that may not
  be repeated ran at most once. In the end nothing stays charged.

  Scenario Outline: a truth request of kind <kind> whose worker <fault>
    Given a truth edge whose only worker <fault>
    When a truth caller sends a <kind> request
    Then the truth outcome is <outcome> because of <reason>
    And the truth ledger agrees and nothing stays charged

    Examples: a request that may not be repeated leaves once
      | kind     | fault                        | outcome  | reason                |
      | once     | refuses connections          | not-run  | worker-not-connected  |
      | once     | dies before its reply        | unknown  | no-answer             |
      | once     | dies in its reply's head     | unknown  | no-answer             |
      | once     | dies in its reply's body     | unknown  | answer-cut            |
      | once     | dies in a chunk              | unknown  | answer-cut            |
      | once     | dies before the last chunk   | unknown  | answer-cut            |
      | once     | states no length             | unknown  | answer-without-length |
      | once     | replies in no known form     | unknown  | no-answer             |
      | once     | never replies                | unknown  | deadline              |
      | once     | replies 500                  | complete | -                     |
      | once     | replies 503                  | complete | -                     |
      | once     | replies 204                  | complete | -                     |
      | once     | replies after a 103          | complete | -                     |
      | once     | replies twice                | complete | -                     |
      | once     | replies and closes           | complete | -                     |
      | once     | closes the idle connection   | complete | -                     |
      | streamed | refuses connections          | not-run  | worker-not-connected  |
      | streamed | dies before its reply        | unknown  | no-answer             |
      | streamed | replies before the body came | complete | -                     |

    Examples: what may have run once is never told as not run
      | kind       | fault                          | outcome | reason    |
      | repeatable | dies for good before its reply | unknown | no-answer |

  Scenario Outline: a truth request of kind <kind> whose first worker <fault> and whose second is well
    Given a truth edge whose first worker <fault> and whose second is well
    When a truth caller sends a <kind> request
    Then the truth outcome is <outcome> because of <reason>
    And the truth ledger agrees and nothing stays charged

    Examples:
      | kind       | fault                    | outcome  | reason     |
      | repeatable | refuses connections      | complete | -          |
      | repeatable | dies before its reply    | complete | -          |
      | repeatable | dies in its reply's head | complete | -          |
      | repeatable | dies in its reply's body | complete | -          |
      | repeatable | dies in a chunk          | complete | -          |
      | repeatable | replies 503              | complete | -          |
      | repeatable | replies in no known form | complete | -          |
      | once       | refuses connections      | complete | -          |
      | once       | dies before its reply    | unknown  | no-answer  |
      | once       | dies in its reply's body | unknown  | answer-cut |

  Scenario Outline: a truth request forwarded to a peer that <fault>
    Given a truth edge without workers and a peer that <fault>
    When a truth caller sends a once request
    Then the truth outcome is <outcome> because of <reason>
    And the truth ledger agrees and nothing stays charged

    Examples:
      | fault                               | outcome  | reason     |
      | is well                             | complete | -          |
      | dies before it reserves             | not-run  | deadline   |
      | reserves for another request        | not-run  | deadline   |
      | reserves twice                      | unknown  | peer-lost  |
      | dies after it reserved              | not-run  | peer-lost  |
      | dies after the request came         | unknown  | peer-lost  |
      | replies for another request         | unknown  | peer-lost  |
      | replies with a head that is none    | unknown  | peer-lost  |
      | dies in its reply                   | unknown  | answer-cut |
      | repeats a part of its reply         | unknown  | answer-cut |
      | drops a part of its reply           | unknown  | answer-cut |
      | sends its reply's parts out of turn | unknown  | answer-cut |
      | cuts a frame                        | unknown  | peer-lost  |
      | sends a frame that is too long      | unknown  | peer-lost  |
      | sends no msgpack                    | unknown  | peer-lost  |
      | replies late                        | unknown  | deadline   |
      | replies twice                       | complete | -          |
      | replies and then says unknown       | complete | -          |

  Scenario Outline: a truth caller that goes away while its request <step>
    Given a truth edge of 2 well instances
    When a truth caller goes away while its request <step>
    Then the truth place is free <when>
    And the truth ledger agrees and nothing stays charged

    Examples:
      | step             | when        |
      | waits            | at once     |
      | runs here        | within 1 s  |
      | runs at the peer | within 1 s  |
      | sends its body   | within 1 s  |
      | gets its reply   | within 1 s  |

  Scenario Outline: truth copies of one request, <copies>
    Given a truth edge of 2 well instances
    When truth copies of a once request come <copies>
    Then the truth outcomes are <outcomes>
    And the truth ledger agrees and nothing stays charged

    Examples:
      | copies                                                | outcomes          |
      | together at both instances                            | complete complete |
      | later at the same instance                            | complete complete |
      | later at the other instance                           | complete complete |
      | later after a long reply                              | complete unknown  |
      | later after its worker died                           | unknown unknown   |
      | later after it was refused                            | not-run complete  |
      | later after its caller left the queue                 | complete          |
      | of two teams together                                 | complete complete |
      | at the other instance after the query's answer was lost | complete        |
      | at the other instance while the holder may not spend  | not-run           |
      | at the other instance while the holder is away        | not-run           |
      | later after its outcome was lost                      | complete unknown  |
      | later after the partition was handed over             | complete complete |
      | later after the handover was lost                     | complete unknown  |
      | later after the holder was lost                       | complete unknown  |
      | from a clock that is far ahead                        | not-run           |

  Scenario: a truth request beside a frozen peer starts as soon as a place is free
    Given a truth edge of 2 well instances
    When a truth request waits 1 s for a place beside a frozen peer
    Then the truth place is free within 0.02 s
    And the truth ledger agrees and nothing stays charged

  Scenario: truth retries add at most a tenth of the load
    Given a truth edge whose only worker replies 503
    When truth callers send 100 repeatable requests
    Then the truth workers ran 100 to 110 requests

  Scenario: a truth instance that is frozen between its checks and its send sends nothing
    Given a truth edge of 2 well instances
    When a truth request comes while no instance may spend
    Then the truth outcome is not-run because of rights-not-supported
    And the truth ledger agrees and nothing stays charged

  Scenario Outline: truth leases of a task that runs <run_s> s
    Given a truth edge of 2 well instances
    When a truth task runs for <run_s> s and its holder may spend for <spend_s> s
    Then the truth task was renewed <renewals> times and <end>
    And the truth ledger agrees and nothing stays charged

    Examples:
      | run_s | spend_s | renewals | end        |
      | 4     | 60      | 0        | completed  |
      | 12    | 60      | 2        | completed  |
      | 38    | 60      | 7        | completed  |
      | 38    | 12      | 2        | was stopped |
