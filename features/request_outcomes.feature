Feature: The reported outcome is correct, whichever step of a request fails
  Each outline names the fault, the step at which it occurs and the outcome that
  must be reported. After every request the ledger of the workers must agree with
  the answer: "not-run" never ran, "complete" carries the whole answer to this
  request, and a request that may not be repeated ran at most once. In the end no
  worker and no queue is charged for a request any more.

  Scenario Outline: A <kind> request whose worker <fault>
    Given an entry instance whose only worker <fault>
    When a caller sends a <kind> request
    Then the request's outcome is <outcome> because of <reason>
    And the workers' ledger agrees and nothing remains charged

    Examples: A request that may not be repeated is sent once
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

    Examples: A request that may have run is never reported as not run
      | kind       | fault                          | outcome | reason    |
      | repeatable | dies for good before its reply | unknown | no-answer |

  Scenario Outline: A <kind> request whose first worker <fault> and whose second is healthy
    Given an entry instance whose first worker <fault> and whose second is healthy
    When a caller sends a <kind> request
    Then the request's outcome is <outcome> because of <reason>
    And the workers' ledger agrees and nothing remains charged

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

  Scenario Outline: A request forwarded to a peer that <fault>
    Given an entry instance without workers and a peer that <fault>
    When a caller sends a once request
    Then the request's outcome is <outcome> because of <reason>
    And the workers' ledger agrees and nothing remains charged

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

  Scenario Outline: A caller that disconnects while its request <step>
    Given 2 entry instances with one healthy worker each
    When a caller disconnects while its request <step>
    Then the capacity is released <when>
    And the workers' ledger agrees and nothing remains charged

    Examples:
      | step             | when        |
      | waits            | at once     |
      | runs here        | within 1 s  |
      | runs at the peer | within 1 s  |
      | sends its body   | within 1 s  |
      | gets its reply   | within 1 s  |

  Scenario Outline: Copies of one request, <copies>
    Given 2 entry instances with one healthy worker each
    When copies of a once request arrive <copies>
    Then the requests' outcomes are <outcomes>
    And the workers' ledger agrees and nothing remains charged

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

  Scenario: A request starts as soon as capacity is free although a peer is frozen
    Given 2 entry instances with one healthy worker each
    When a request waits 1 s for capacity while a peer is frozen
    Then the capacity is released within 0.02 s
    And the workers' ledger agrees and nothing remains charged

  Scenario: Retries add at most a tenth of the load
    Given an entry instance whose only worker replies 503
    When callers send 100 repeatable requests
    Then the workers ran 100 to 110 requests

  Scenario: An instance that is frozen between its checks and its send sends nothing
    Given 2 entry instances with one healthy worker each
    When a request arrives while no instance may use its rights
    Then the request's outcome is not-run because of rights-not-supported
    And the workers' ledger agrees and nothing remains charged

  Scenario: A task whose body ends after its instance lost its rights doesn't start before they are back
    Given 2 entry instances with one healthy worker each
    When the body of a request ends while its instance may not use its rights for 3 s
    Then the request's outcome is complete because of -
    And the task started only once its instance might use its rights
    And the workers' ledger agrees and nothing remains charged

  Scenario Outline: Leases of a task that runs <run_s> s
    Given 2 entry instances with one healthy worker each
    When a task runs for <run_s> s and its instance may use its rights for <spend_s> s
    Then the task's lease was renewed <renewals> times and the task <end>
    And the workers' ledger agrees and nothing remains charged

    Examples:
      | run_s | spend_s | renewals | end        |
      | 4     | 60      | 0        | completed  |
      | 12    | 60      | 2        | completed  |
      | 38    | 60      | 7        | completed  |
      | 38    | 12      | 2        | was stopped |
