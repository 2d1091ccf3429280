Feature: A server answers each request that has arrived, however late its loop is

  Scenario: No whole request is refused as incomplete because the loop was blocked
    When a request arrives while the loop is blocked past the time limit of its head
    Then each of these late requests got 200

  Scenario Outline: No request is cut because the loop was blocked past the end of a drain, <on>
    When requests arrive on <on> while the loop is blocked past the end of a drain
    Then each of these late requests got 200

    Examples: connections
      | on               |
      | new connections  |
      | idle connections |

  Scenario: No request is cut because the loop was blocked from the middle of a drain
    When half a request arrives before a drain, and the rest while the loop is blocked
    Then each of these late requests got 200

  Scenario: A connection made right before a drain is not ended before its first request
    When a new connection sends its first request 0.05 s after a drain has begun
    Then each of these late requests got 200

  Scenario: A new connection without a request does not hold up a drain
    When a connection is made 0.02 s before a drain and sends nothing
    Then the drain has ended within 0.3 s

  Scenario Outline: An answer that was sent right before a drain reaches its caller, <on>
    When a caller reads an answer <on> 0.1 s after a drain has begun
    Then the process has ended after the caller had the whole answer

    Examples: connections
      | on                                  |
      | on a connection that is kept        |
      | on a connection that ends           |

  Scenario: The refusal of a full server reaches a caller that still sends as it drains
    When a full server refuses a caller right before a drain, which then sends a body
    Then the process has ended after the caller had the refusal
