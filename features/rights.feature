Feature: Rights of entry instances
  The random-walk model drives the real decision code and the real fold.
  Longer: python -m features.support.rights_model --runs 20000 --seed 1

  Scenario: Rights model keeps every invariant on random walks
    When the rights model walks 60 times from seed 1
    Then the rights model broke nothing
    And the rights model saw rights freed, used by peers' support and lent

  Scenario: Rights model frees the rights of all dead once faults end
    When the rights model walks 10 times from seed 10 and settles
    Then the rights model broke nothing

  Scenario Outline: Rights model catches a weakened rule on random walks
    When the rights model walks with "<weakening>" for <count> seeds from <seed>
    Then the rights model shows the seed that broke

    Examples:
      | weakening                   | seed | count |
      | a timeout alone             | 1    | 60    |
      | one acknowledgement fewer   | 110  | 40    |
      | majority for key currency   | 1    | 60    |
      | reporting a verdict at once | 1    | 60    |
      | applying a repeated release | 1    | 40    |

  Scenario Outline: Rights model keeps a script and catches its weakening
    When the rights model plays "<script>" for seeds 1 to 5
    Then the rights model broke nothing
    When the rights model weakened by "<weakening>" plays "<script>" for seeds 1 to 5
    Then the rights model shows the seed that broke

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

  Scenario: Rights model shows that the rule needs a clock that never stops
    When the rights model plays "clock stops" for seeds 1 to 5
    Then the rights model shows the seed that broke
