Feature: Leaders that follow each other run nothing twice
  A leader tells its successor until when workers that it did not reach may have got a lease.
  Random histories have hand-overs, also unstored ones and ones before the takeover, killed
  leaders, leaders that go on cut off, workers whose answers are lost, and late starts.

  Scenario Outline: No subtask runs twice at once in a random history
    Then in 12 random histories of <instances> no subtask runs twice at once

    Examples: instances
      | instances                                   |
      | instances of one version                    |
      | instances of which one ignores what is told |

  Scenario Outline: The histories tell when a rule of the hand-over is left out
    Then in 30 random histories a subtask runs twice at once if <fault>

    Examples: faults
      | fault                                  |
      | workers that were reached are told of  |
      | an older record counts                 |
      | earlier leaders are told of as over    |

  # Guards against an instance that keeps all jobs and workers in memory after its term.
  Scenario: A leader that has handed over keeps nothing of its term
    Given a leader of a series that one worker has not answered
    When it hands over
    Then nothing refers to its jobs and workers
    And its record tells of the worker

  # Guards against TWICE: only this leader knows of the start.
  Scenario: A leader that hands over tells of a start whose outcome it does not know
    Given a leader of a series with a start under way
    When it hands over
    Then its record tells of the worker

  Scenario Outline: Only a leader that hands over shortens the wait for a lost worker, <end>
    Given a leader of a series whose worker is lost with a subtask
    When it <end>, and the next one does not reach that worker
    Then the subtask starts again after <least> to <most> s

    Examples: ends
      | end        | least | most |
      | hands over | 3.4   | 4.0  |
      | is killed  | 6.6   | 8.0  |

  # Guards against TWICE: the leader between them has reached no worker.
  Scenario: A leader that hands over before its takeover does not shorten the wait
    Given a leader of a series whose worker is lost with a subtask
    When it is killed, and the next one hands over before its takeover
    Then the subtask starts again after 6.6 to 8 s
