Feature: A listener serves or ends each connection that it accepts
  A connection belongs to the listener's owner as soon as it was accepted. No caller
  waits on one that nobody reads.

  Scenario Outline: No connection made while a listener closes stays open unread, <listener>
    When connections are made in each pass of the loop while <listener> closes
    Then each of them was answered or has ended within 0.2 s

    Examples: listeners
      | listener                            |
      | the HTTP server                     |
      | an instance's listener for peers    |
      | the product's listener for peers    |

  Scenario: A server that closes after a drain logs what its connections waited for
    When a server drains and closes with an unanswered request and half a request
    Then its log says that one waited for its handler and one for the head of a request

  Scenario: A listener that has run out of descriptors accepts again after a pause
    When a listener can't accept a connection for want of descriptors
    Then the connection is answered within 2 s
    And the listener has tried it again once

  Scenario: Small responses on accepted connections are not delayed by Nagle's algorithm
    When a listener has accepted a connection
    Then the connection's segments are sent without delay

  Scenario: A connection that fails as it is accepted does not keep the next from being served
    When the first of two connections fails as a closing listener accepts them
    Then the listener has closed, and the second connection was made

  Scenario: A listener on all IPv6 addresses takes no IPv4 connections
    When a listener is opened on "::"
    Then an IPv4 connection to its port is refused

  Scenario Outline: A listener that can't listen leaves no socket open, as <fault>
    When a listener can't listen, as <fault>
    Then it has no open socket, though it and its error are kept

    Examples: faults
      | fault                            |
      | its port is out of range         |
      | another socket has listened      |
      | the loop can't watch its socket  |
