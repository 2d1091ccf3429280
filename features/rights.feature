Feature: Rights of entry instances
  A random-walk model runs the production decision code and fold under faults.
  Longer run: python -m features.support.rights_model --runs 20000 --seed 1

  Scenario: Rights model keeps every invariant on random walks
    When the rights model walks 60 times from seed 1
    Then the rights model broke no invariant
    And the rights model freed rights, lent them and used them on peers' leases

  Scenario: Rights model removes all dead members once faults end
    When the rights model walks 17 times from seed 60 and then all faults end
    Then the rights model broke no invariant

  Scenario Outline: Rights model detects a weakened rule on random walks
    When the rights model walks with "<weakening>" for <count> seeds from <seed>
    Then the rights model reports a seed that broke an invariant

    Examples:
      | weakening                   | seed | count |
      | a timeout alone             | 1    | 60    |
      | one acknowledgement fewer   | 110  | 40    |
      | majority for key currency   | 1    | 60    |
      | reporting a verdict at once | 1    | 60    |
      | applying a repeated release | 1    | 40    |

  Scenario Outline: Rights model passes a script and detects its weakening
    When the rights model plays "<script>" for seeds 1 to 5
    Then the rights model broke no invariant
    When the rights model weakened by "<weakening>" plays "<script>" for seeds 1 to 5
    Then the rights model reports a seed that broke an invariant

    Examples:
      | script                   | weakening                                  |
      | two without the log      | a timeout alone                            |
      | two without the log      | one acknowledgement fewer                  |
      | roster grows             | only the current roster                    |
      | roster grows unread      | rosters since the last pulse               |
      | retired at its pulse     | no wait of T                               |
      | grant comes late         | counting support from the reply            |
      | pulse read late          | counting a pulse from its reading          |
      | supporter reads late     | acknowledging before granted leases lapsed |
      | supporter dies           | counting a proven death at once            |
      | lender loses support     | loan outliving its lender's lease          |
      | lender dies with tasks   | freeing slots with loans unsettled         |
      | withdrawn by a minority  | majority for key currency                  |
      | attested late            | attestation counted from the reply         |
      | teller dies              | reporting a verdict at once                |
      | joined twice             | supporting a repeated join                 |
      | released twice           | applying a repeated release                |
      | worker created again     | dropping removed rights at once            |
      | limit lowered and raised | dropping removed rights at once            |

  Scenario: Rights model shows that the rule needs clocks that never stop
    When the rights model plays "clock stops" for seeds 1 to 5
    Then the rights model reports a seed that broke an invariant
