Feature: A graceful shutdown cuts no request
  Instances are stopped as SIGTERM does while callers use their open connections until
  the process is gone. Each request that an instance has read gets a whole answer.

  Scenario: Requests that wait for a leader are answered before a stopped instance ends
    When an instance without a leader is stopped while requests wait
    Then each of these requests got 503

  Scenario: A submission that may have been stored gets 504 before its leader ends
    When the only instance is stopped while the store does not take a submission
    Then each of these requests got 504

  Scenario: A submission that was never sent to a silent store gets 503
    When two submissions follow each other while the store does not answer
    Then the one that was sent got 504, and the one behind it got 503

  Scenario: A body that stops is refused before a stopped instance ends
    When an instance is stopped while the body of a submission stops
    Then each of these requests got 503

  Scenario: A stopped leader goes on while no other instance can lead
    When all instances are stopped at once while jobs are submitted
    Then each of these requests got 200

  Scenario: A stopped leader hands over as soon as another instance can lead
    When all instances are stopped at once and one of them starts again
    Then it leads before the stopped leader has ended

  Scenario Outline: Instances stopped in overlapping series cut no request, <series>
    When instances are stopped <series> while callers use open connections
    Then no request that an instance had read was cut
    And most requests were served

    Examples: series
      | series             |
      | one each 0.7 s     |
      | two each 0.5 s     |
      | three each 0.2 s   |

  Scenario: A named successor that is stopped before its claim leads all the same
    When the leader hands over to an instance that has just been told to stop
    Then that instance leads within 0.5 s

  Scenario: An instance that is stopped while its claim is under way leads all the same
    When an instance is told to stop after its claim was stored but not answered
    Then that instance leads within 1.5 s

  Scenario: A peer that hangs does not keep a stopped leader from releasing leadership
    When the only instance is stopped while its queries for a successor hang
    Then the store shows that it has released leadership

  Scenario: A flush of a closed journal fails at once
    When a journal is flushed after its leader has ended
    Then the flush has failed

  Scenario: A moved worker that is still listed holds up no start after a takeover
    When the leader changes each 2 s while a moved worker is still listed
    Then a subtask that was ready starts within 1 s of the first takeover

  Scenario: An instance that has ended answers no peer
    When an instance has ended while a peer's stream to it was open
    Then the peer can't reach it

  Scenario: A request that waits for a takeover is passed on when its leader stops
    When a leader stops while a request waits for its takeover
    Then the request is told at once that this instance leads nothing

  Scenario Outline: Requests that arrive while a late loop drains are answered, <on>
    When requests arrive on <on> while the loop is blocked over a drain
    Then each of these requests got 200

    Examples: connections
      | on               |
      | new connections  |
      | idle connections |

  Scenario Outline: <signal> during its start <does> <daemon>
    When <daemon> gets <signal> while it reads its settings
    Then it <state>

    Examples: signals
      | signal  | daemon                | does                         | state                  |
      | SIGHUP  | a platform instance   | does not end                 | is still running       |
      | SIGHUP  | the product's daemon  | does not end                 | is still running       |
      | SIGTERM | a platform instance   | ends without an error        | has ended with code 0  |
      | SIGTERM | the product's daemon  | ends without an error        | has ended with code 0  |

  Scenario Outline: SIGTERM that is repeated during its start ends <daemon> without an error
    When SIGTERM is sent to <daemon> repeatedly while it reads its settings
    Then it has ended with code 0

    Examples: daemons
      | daemon               |
      | a platform instance  |
      | the product's daemon |

  Scenario: SIGTERM that is repeated ends a running platform instance without an error
    When SIGTERM is sent repeatedly to a platform instance that runs
    Then it has ended with code 0

  Scenario: A server that drains finishes open requests and closes idle connections
    When a server drains with an open request and an idle connection
    Then the open request is answered, the idle connection ends and no new one is made

  Scenario Outline: A shutdown ends 0.1 s before its kill, <grace> s after SIGTERM and <late> s late
    When an instance with <grace> s stops, and its loop is <late> s late for its end
    Then it has ended 0.1 s before the kill, though a caller and the store hang

    Examples: times
      | grace | late |
      | 3     | 0    |
      | 3     | 0.15 |
      | 3     | 0.3  |
      | 3     | 0.5  |
      | 0.6   | 0    |
