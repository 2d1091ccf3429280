Feature: One input does not take down leader after leader
  An answer, record or job that can't be handled costs its worker or its job, and the
  rest of the fleet goes on under the same leader.

  Scenario Outline: A worker that answers with <answer> does not end the leadership
    When a worker answers its polls with <answer> while jobs run
    Then the jobs are completed elsewhere under the same leader

    Examples:
      | answer                              |
      | a list as the reason of a refusal   |
      | a subtask name of 5000 digits       |
      | an occurrence of 30 digits          |

  Scenario: An occurrence that the job does not have is not run
    When a worker reports a run of occurrence 7 of a job that runs once
    Then nothing of occurrence 7 is started and the job is not shown as completed

  Scenario Outline: A worker that refuses a <order> with an odd reason does not end the leadership
    When a worker refuses each <order> with a list as reason
    Then the jobs are completed elsewhere under the same leader

    Examples:
      | order |
      | start |
      | stop  |

  Scenario: A listed worker whose address can't be used does not end the leadership
    When the list has workers whose addresses no connection can be opened to
    Then the jobs are completed elsewhere under the same leader

  Scenario Outline: An odd answer of the <service> raises no exception
    When the <service> gives each of its odd answers
    Then each of its calls returns an outcome that is not a success

    Examples:
      | service         |
      | worker          |
      | machine service |
      | advice service  |

  Scenario: A poll that fails unexpectedly is repeated with a delay and logged seldom
    When handling the answers of a worker always fails
    Then the jobs are completed elsewhere under the same leader
    And the failure is logged at least once and at most 5 times

  Scenario: A report that fails half-way is applied as a whole later
    When applying the end of a run fails once after the run was released
    Then the jobs are completed without a second start

  Scenario: An order to start that fails after it was sent is not repeated elsewhere
    When sending a start fails unexpectedly after the worker got it
    Then the jobs are completed without a second start

  Scenario: An order to stop that fails is repeated
    When sending a stop fails unexpectedly and the job is cancelled
    Then the run is stopped under the same leader

  Scenario: A job that can't be placed is held back alone
    When placing one job fails unexpectedly while others are submitted
    Then the others are completed under the same leader
    And the job that can't be placed is pending, and runs once it can be placed

  Scenario Outline: A stored <record> that can't be read does not end the takeover
    When an instance takes over with a <record> that can't be read
    Then it leads, and a new job is completed

    Examples:
      | record            |
      | list of workers   |
      | list of orders    |
      | wave              |

  Scenario Outline: A stored job with <fault> is held back and its state is not denied
    When an instance takes over with a stored job with <fault>
    Then it leads, and a new job is completed
    And the stored job is answered with 503, never 410, and is not started anew

    Examples:
      | fault                         |
      | a definition of odd bytes     |
      | a need that is text           |
      | a spec that is bytes          |
      | a count over the limit            |
      | progress without its fields   |
      | progress with too few bits    |
      | progress with odd checkpoints |

  Scenario: After a list of workers that can't be read nothing starts twice
    When an instance takes over with an unreadable list of workers while a run goes on
    Then the jobs are completed without a second start

  Scenario: A failure that no worker and no job explains leaves a pause
    When the leader fails at once in every term for 4 seconds
    Then there were at most 4 terms, each with an epoch of its own

  Scenario: A large job that repeats is opened little by little
    When a job of 20000 subtasks is submitted that is due 64 times at once
    Then at most 100000 of its subtasks are open, and the next opens as one ends

  Scenario: A large long-running step does not block the leader
    When a long-running step of 500 subtasks is placed on 150 idle workers
    Then placing them takes less processor time than the leadership lease
