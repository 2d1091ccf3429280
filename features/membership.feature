Feature: Folding membership and rights
  Random records are folded by the fold and by a slow reference implementation.

  Scenario: Membership fold agrees with the reference implementation
    When the membership fold and its reference implementation fold 400 random logs
    Then the membership folds agreed on members, owners and allowances

  Scenario: Membership rights stay within a limit in force at mixed offsets
    When the membership fold lowers and raises limits in 300 random logs
    Then the membership owners never exceed the highest limit in force

  Scenario Outline: Membership rights become evenly spread over live members
    Given a membership of <members> members, <workers> workers and limit <limit>
    When the membership members claim and transfer rights until none move
    Then the membership rights are all owned and spread evenly to within one
    When one membership member hands over all its rights
    Then the membership rights are all owned by the others

    Examples:
      | members | workers | limit |
      | 1       | 30      | 10    |
      | 2       | 7       | 3     |
      | 3       | 30      | 100   |
      | 9       | 30      | 4     |
      | 9       | 1800    | 500   |

  Scenario: Membership plan is reused while only heartbeats change the state
    Given a membership of 3 members, 30 workers and limit 10
    When a membership balancer plans, folds 20 heartbeats and plans again
    Then the membership balancer reused its plan
    When one membership member hands over all its rights
    Then the membership balancer's plan matches a full search
