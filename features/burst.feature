Feature: A burst of six times the usual requests on full pools
  Small jobs of several steps and wide ones, with estimates that are off, in two pools.
  Each new leader knows the jobs, but has no run times, and hears of the workers 0.5 s later.

  The bound refuses by the age and the length of the queue.

  Scenario Outline: As many jobs end in time as with a bound on the queue
    Given three bursts and a new leader each <term> s
    When they are played with admission and with a bound on the queue
    Then at least as many jobs end in time

    Examples: terms
      | term |
      | 0    |
      | 2    |

  Scenario Outline: Not more accepted work comes to nothing than with a bound on the queue
    Given three bursts and a new leader each <term> s
    When they are played with admission and with a bound on the queue
    Then not more accepted jobs come to nothing

    Examples: terms
      | term |
      | 0    |
      | 2    |
