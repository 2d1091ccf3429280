Feature: Admission keeps limits, order and fair shares
  Random operations on a dispatcher are checked by an oracle, a plain model that
  recomputes everything; mutants of the dispatcher show that each check works.

  Scenario: The oracle accepts every decision of the dispatcher
    When random operations on the dispatcher are checked by the oracle
    Then the oracle accepts every decision

  Scenario Outline: The oracle rejects a decision of each mutant
    When random operations on a dispatcher with <fault> are checked by the oracle
    Then the oracle rejects a decision

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

  Scenario: A new request does not overtake one that waits for freed capacity
    When a task ends and a new request arrives before the waiting one is placed
    Then the waiting request starts and the new one waits
    When the same requests come to a dispatcher with rivals passed over
    Then the new request starts and the waiting one still waits

  Scenario Outline: Shares of a full fleet follow the weights
    Given a dispatcher over 12 workers and teams of weight <weights>
    When every team always has more work waiting, with tasks of <sizes> for <span> s
    Then each team's share of the dominant resource is within <error> of its due share

    Examples:
      | weights | sizes                     | span | error |
      | 1,1     | 1000x1000,1000x1000       | 30   | 0.05  |
      | 1,2,3   | 1000x500,1000x500,500x500 | 30   | 0.05  |
      | 1,1     | 2000x200,200x2000         | 30   | 0.05  |

  Scenario: An unused share is lent to other teams and returned
    Given a dispatcher over 12 workers and teams of weight 1,1
    When only the first team has work for 30 s, with tasks of 1 s
    Then that team uses more than 0.9 of the fleet
    When every team always has more work waiting, with tasks of 1000x1000,1000x1000 for 5 s
    Then each team's share of the dominant resource is within 0.05 of its due share

  Scenario: Teams that flood the queue do not lock out another team
    Given a dispatcher over 1 workers and teams of weight 1,1,1
    When the first two teams submit requests until the queue refuses them
    Then normal and urgent requests of the other team are still accepted
    And the queue length never exceeds its limit

  Scenario: Batch work is not starved by continuous urgent work
    Given a dispatcher over 1 workers and teams of weight 1,1
    When urgent work always waits and 20 batch requests arrive
    Then every batch request has started within the derived bound
    When requests of the dispatcher no longer age
    Then some batch request has not started within the derived bound

  Scenario: A large request is not starved by continuous small ones
    Given a dispatcher over 4 workers and teams of weight 1,1
    When small requests always wait and one arrives that needs a whole worker
    Then it starts within 5.0 s
    When the dispatcher no longer reserves capacity
    Then it has not started after 60 s

  Scenario Outline: Mass cancellation costs O(log n) for each request
    When <many> waiting requests of <teams> teams are cancelled in <order> order
    Then each costs at most twice as much as among <few> requests

    Examples:
      | many  | few | teams | order  |
      | 10000 | 100 | 6     | first  |
      | 10000 | 100 | 6     | last   |
      | 10000 | 100 | 6     | random |

  Scenario: The cancellation cost check detects a linear scan
    When 2000 waiting requests of 6 teams are cancelled by a scan
    Then each costs more than twice as much as among 100 requests

  Scenario Outline: Preemption throttles, checkpoints and stops, in that order
    Given a worker full of <policy> tasks that are <kind> and repeatable is <repeatable>
    When an urgent request waits and preemption runs for 4.9 s
    Then the preemption steps for a task are <steps>

    Examples:
      | policy     | kind   | repeatable | steps                    |
      | checkpoint | batch  | yes        | throttle,checkpoint,stop |
      | checkpoint | batch  | no         | throttle,checkpoint      |
      | wait       | batch  | yes        | throttle,stop            |
      | wait       | batch  | no         | none                     |
      | never-cut  | batch  | yes        | none                     |
      | checkpoint | urgent | yes        | none                     |

  Scenario: A throttle is lifted when no request needs the capacity any more
    Given a worker full of checkpoint tasks that are batch and repeatable is yes
    When an urgent request waits and is cancelled once a task is throttled
    Then the preemption steps for a task are throttle,resume

  Scenario: An urgent request starts within 4.9 s although batch work fills the fleet
    Given a worker full of checkpoint tasks that are batch and repeatable is yes
    When an urgent request waits and stopped tasks end
    Then it starts within 4.9 s

  Scenario: A team above its share is preempted only down to its share
    Given a worker filled by one team while another of the same weight waits
    When preemption runs until it takes no further step
    Then the two teams have equal shares

  Scenario: Retries add at most a tenth to the load
    When first attempts and retries arrive at random
    Then retries never exceed a tenth of the first attempts
    And the delays before retries are spread up to the documented limits
