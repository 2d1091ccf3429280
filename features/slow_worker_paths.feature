Feature: Workers that are reached slowly
  On a full link a round trip takes a few tenths of a second, to connect as well.

  # Guards against retries that have less time than the call that failed.
  Scenario Outline: A lost call doesn't cost a worker its lease
    Given a worker that is reached in <round_trip> s and loses its fourth call
    When a leader polls it for 8 s
    Then its lease has not expired, for the worker or the leader

    Examples: paths
      | round_trip |
      | 0.05       |
      | 0.35       |
      | 0.45       |

  Scenario: Starts are answered that are sent at once
    Given a worker that is reached in 0.35 s and loses no call
    When a leader sends it two starts at once
    Then both are answered

  Scenario: A worker that can't be reached is noticed as soon as ever
    Given a worker that is reached in 60 s and loses no call
    When a leader polls it once
    Then the poll has failed after at most 0.5 s
