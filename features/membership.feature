Feature: Folding membership and rights
  The fold is compared with a naive version under random records.

  Scenario: Membership fold agrees with the naive version
    When the membership fold and the naive version fold 400 random logs
    Then the membership folds agreed on rosters, holders and allowances

  Scenario: Membership rights stay within a limit in force at mixed offsets
    When the membership fold lowers and raises limits in 300 random logs
    Then the membership holders never exceed the highest limit in force

  Scenario Outline: Membership rights become even over live members
    Given a membership of <members> members, <workers> workers and limit <limit>
    When the membership members claim and hand over until nothing moves
    Then the membership rights are all held and even to within one
    When one membership member hands over everything
    Then the membership rights are all held by the others

    Examples:
      | members | workers | limit |
      | 1       | 30      | 10    |
      | 2       | 7       | 3     |
      | 3       | 30      | 100   |
      | 9       | 30      | 4     |
      | 9       | 1800    | 500   |
