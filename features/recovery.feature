Feature: Requests while the fleet recovers
  What is known not to be carried out is refused early, what may be carried out never is.

  Scenario Outline: Each state of a request has one rule
    Then a request with <state> waits <wait> s and is then <verdict>

    Examples: states
      | state         | wait | verdict     |
      | no leader     | 2.2  | refused     |
      | asked         | inf  | unknown     |
      | replaced      | 0.0  | asked again |
      | taking over   | 2.2  | refused     |
      | unsent        | 0.4  | refused     |
      | appending     | inf  | unknown     |

  # Guards against 504 for what was never sent to the store.
  Scenario: A job that is in no append is refused once appends have failed for 0.4 s
    Given a leader whose store fails
    When two jobs are submitted, one while the append of the other is under way
    Then the second is refused after 0.5 s, and the first is not
    And the second is accepted once it is sent again to the store that answers

  Scenario: A job whose append is under way is not refused
    Given a leader whose store fails
    When a job is submitted again while its append is under way
    Then neither is refused, and both are answered once the store answers

  # Guards against the loss of an accepted job that has changed since.
  Scenario: A stored job is not dropped when the store fails again
    Given a leader whose store fails
    When a job is submitted again, is stored, and changes while the next append fails
    Then both submissions are acknowledged, and the leader still has the job

  # Guards against the ack of a cancel that does not reach the job sent in again.
  Scenario: A cancel that waits for a job that is dropped is not acknowledged
    Given a leader whose store fails
    When a job is cancelled while it waits for the append of another
    Then the job is refused, and its cancel tells that it is not known

  # Guards against refusals while each job is stored within two appends.
  Scenario: Jobs are accepted while the store is only slow
    Given a leader whose store takes 0.8 s
    When a job is submitted each 0.3 s
    Then all are accepted

  # Guards against requests that wait for a dead leader until their deadline.
  Scenario: A request to a leader that is silent is sent to its successor
    Given an instance whose leader answers nothing
    When a request is sent, and a successor is elected 1 s later
    Then the successor answers the request at once

  Scenario: A reply of the leader that was asked is not lost to an older record
    Given an instance whose leader answers after 1 s
    When a request is sent, and the leader's record is read again meanwhile
    Then the leader that was asked answers it, and is asked once

  Scenario: A request is not kept by a leader that can't take over
    Given a leader that can't read the store
    Then it refuses the request after 2.2 s, which was sent to it once
