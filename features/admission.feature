Feature: Admission keeps limits, order and fair shares

  Scenario: Every decision is one that the naive judge allows
    When the dispatcher is driven at random beside the naive judge
    Then the judge objects to nothing

  Scenario Outline: The judge objects to a broken dispatcher
    When a dispatcher with <fault> is driven at random beside the naive judge
    Then the judge objects

    Examples:
      | fault                        |
      | no team slots                |
      | no look at memory            |
      | no check of the size         |
      | batch before urgent          |
      | no shares                    |
      | no peers' usage              |
      | no return of parked teams    |
      | places that stay half taken  |
      | no expiry                    |
      | stale deadlines              |
      | one try per pool             |
      | no usage reports             |
      | no tasks of others           |

  Scenario: A newcomer does not pass one that waits for the room that came free
    When a task ends and a newcomer comes before the waiting one was placed
    Then the waiting one starts and the newcomer waits
    When the dispatcher is broken by rivals passed over
    Then the newcomer starts and the waiting one waits

  Scenario Outline: Shares of a full fleet follow the weights
    Given a dispatcher over 12 workers and teams of weight <weights>
    When every team always has more work waiting, with tasks of <sizes> for <span> s
    Then each team's share of the dominant resource is within <error> of its due share

    Examples:
      | weights | sizes                     | span | error |
      | 1,1     | 1000x1000,1000x1000       | 30   | 0.05  |
      | 1,2,3   | 1000x500,1000x500,500x500 | 30   | 0.05  |
      | 1,1     | 2000x200,200x2000         | 30   | 0.05  |

  Scenario: Unused share is lent and comes back
    Given a dispatcher over 12 workers and teams of weight 1,1
    When only the first team has work for 30 s, with tasks of 1 s
    Then it uses more than 0.9 of the fleet
    When every team always has more work waiting, with tasks of 1000x1000,1000x1000 for 5 s
    Then each team's share of the dominant resource is within 0.05 of its due share

  Scenario: Teams that flood the queue keep no other team out
    Given a dispatcher over 1 workers and teams of weight 1,1,1
    When the first two teams flood the queue until they are refused
    Then the other team's requests, urgent ones most of all, are still taken
    And the queue never holds more than its limit

  Scenario: Batch work finishes though urgent work never ends
    Given a dispatcher over 1 workers and teams of weight 1,1
    When urgent work always waits and 20 batch requests come
    Then every batch request has started within the stated bound
    When the dispatcher is broken so that nothing ages
    Then some batch request has not started within the stated bound

  Scenario: A large request starts though small ones never end
    Given a dispatcher over 4 workers and teams of weight 1,1
    When small requests always wait and one comes that needs a whole worker
    Then it starts within 5.0 s
    When the dispatcher is broken so that nothing is reserved
    Then it has not started after 60 s

  Scenario Outline: A cancellation wave costs O(log n) for each request
    When <many> waiting requests of <teams> teams are cancelled in <order> order
    Then each costs at most twice what it costs among <few>

    Examples:
      | many  | few | teams | order  |
      | 10000 | 100 | 6     | first  |
      | 10000 | 100 | 6     | last   |
      | 10000 | 100 | 6     | random |

  Scenario: Counting the cost of cancellations finds a scan
    When 2000 waiting requests of 6 teams are cancelled by a scan
    Then each costs more than twice what it costs among 100

  Scenario Outline: Room is taken back by throttle, checkpoint and stop, in that order
    Given a full worker of <policy> tasks that are <kind> and repeatable is <repeatable>
    When an urgent request waits and the steps are followed for 4.9 s
    Then the steps for a task are <steps>

    Examples:
      | policy     | kind   | repeatable | steps                    |
      | checkpoint | batch  | yes        | throttle,checkpoint,stop |
      | checkpoint | batch  | no         | throttle,checkpoint      |
      | wait       | batch  | yes        | throttle,stop            |
      | wait       | batch  | no         | none                     |
      | never-cut  | batch  | yes        | none                     |
      | checkpoint | urgent | yes        | none                     |

  Scenario: A throttle is lifted when nobody claims the room any more
    Given a full worker of checkpoint tasks that are batch and repeatable is yes
    When an urgent request waits and is cancelled once a task is throttled
    Then the steps for a task are throttle,resume

  Scenario: An urgent request starts within 4.9 s though batch work fills the fleet
    Given a full worker of checkpoint tasks that are batch and repeatable is yes
    When an urgent request waits and stopped tasks end
    Then it starts within 4.9 s

  Scenario: A team above its share gives back to one below it and no more
    Given a worker filled by one team while another of the same weight waits
    When the steps are followed until they end
    Then the two teams end with equal shares

  Scenario: Retries add at most a tenth
    When requests and retries come at random
    Then retries never exceed a tenth of the first attempts
    And the delays before retries are spread up to the stated limits
