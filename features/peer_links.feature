Feature: Requests on one link to a peer don't fail because of each other
  All requests of an instance to a peer share one stream. One that gets no reply in time
  says little about the others.

  Scenario: A request without a reply does not fail another one on its link
    When one request gets no reply in 0.15 s while another one takes 1 s on the same link
    Then the other one was replied to, and the peer got it once
    And the peer has no stream after the last reply

  Scenario: A request without a reply does not end a link that delivers other replies
    When a request gets no reply in 1 s while others are replied to each 0.1 s
    Then the peer got all of them on one stream

  Scenario: Requests on a link that has died fail soon, and the next one opens another
    When a request gets no reply in 0.15 s on a stream that has died
    Then another one on this stream has failed 0.6 s after it was sent
    And a request sent after the first has failed is replied to

  Scenario Outline: Only a request that was sent counts as one that may have run, <state>
    When an instance must answer a request while <state>
    Then its answer is <answer>

    Examples: states
      | state                           | answer    |
      | a connection for it is made     | Refused   |
      | its leader has it               | Unsettled |
