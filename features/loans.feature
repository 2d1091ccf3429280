Feature: Loans of team slots between members
  Demand decides which peers are asked for slots. Messages carry cumulative
  totals, so that losing, repeating or reordering them does no harm.

  Scenario Outline: Loan requests go to the peers with the most free slots
    Given a loan demand of <waiting> waiting and <free> free
    And loan offers of <offers>
    Then the loan requests are <asks>

    Examples:
      | waiting | free | offers         | asks       |
      | 0       | 0    | p1=4           | nothing    |
      | 3       | 3    | p1=4           | nothing    |
      | 3       | 1    | p1=4           | p1=2       |
      | 9       | 0    | p1=2 p2=5 p3=3 | p2=5 p3=3  |
      | 4       | 0    | p2=4 p1=4      | p1=4       |
      | 2       | 0    | p1=0           | nothing    |

  Scenario Outline: Loan lender keeps the slots that its own work needs
    Given a loan demand of <waiting> waiting and <free> free
    Then the lender lends <lent> when idle for <idle> s
    And the lender recalls <recalled> of 3 lent slots

    Examples:
      | waiting | free | idle | lent | recalled |
      | 0       | 5    | 0.1  | 2    | 0        |
      | 0       | 5    | 0.5  | 5    | 0        |
      | 2       | 0    | 9.0  | 0    | 2        |
      | 9       | 0    | 9.0  | 0    | 3        |

  Scenario: Loan totals tolerate lost, repeated and reordered messages
    When loan messages are lost, repeated and reordered in 300 random histories
    Then lender and borrower never use the same loan slot

  Scenario: Loan kept by a record that a snapshot skips is counted once
    Given a loan of 3 slots of which 2 run tasks
    When the lender is retired and a snapshot skips the record that keeps the loan
    Then the loan counts 2 tasks as own and none as borrowed
