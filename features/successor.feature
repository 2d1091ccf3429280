Feature: Choice of the successor at a handover
  A small instance on a slow link takes seconds to take over what a strong one takes over
  in a tenth; meanwhile nothing starts.

  # Guards against handing over to a small instance beside strong ones.
  Scenario Outline: A strong instance is found among many small ones
    Given a leader with 40 small peers and <strong> strong ones
    When it chooses its successor 50 times
    Then it chooses <chosen> each time, and asks each peer once at most

    Examples:
      | strong | chosen      |
      | 3      | strong ones |
      | 1      | strong ones |
      | 0      | small ones  |

  Scenario: Few peers are asked where most are strong
    Given a leader with 0 small peers and 40 strong ones
    When it chooses its successor 50 times
    Then it asks 6 peers each time

  Scenario: Strong instances that can't lead are passed over
    Given a leader with 40 small peers and 3 strong ones
    And no strong one is able to lead
    When it chooses its successor 50 times
    Then it chooses small ones each time, and asks each peer once at most
