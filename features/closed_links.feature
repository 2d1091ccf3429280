Feature: A client that is closed keeps no connection to its peers
  A connection that is opened or returned after its owner has closed is ended.

  Scenario Outline: No stream that was being opened while its owner closed is left open, <kind>
    When <kind> is closed while a stream is being opened
    Then the call that opens it fails
    And its server has no stream after 0.2 s

    Examples: owners
      | kind                      |
      | an instance's peers       |
      | a control link            |
      | a pool of forward streams |

  Scenario: No forward stream that is returned after its link closed is kept
    When a forward stream is returned to a link that has closed
    Then its server has no stream after 0.2 s

  Scenario: No connection that is returned after its pool closed is kept
    When an HTTP exchange ends after its pool has closed
    Then its server has no stream after 0.2 s
