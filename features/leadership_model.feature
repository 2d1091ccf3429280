Feature: All orders of elections, confirmations and losses
  The model drives the product's classes with a store that answers, loses answers or
  carries appends out late. Any time may pass between two events; times are scaled to a
  lease of 2 ticks, confirmations of 1 and an outage limit of 4.

  # Guards against TWICE: a leader acts while its successor counts its right as over.
  Scenario Outline: No order of events has two leaders
    When all orders of events in the scope "<scope>" are tried
    Then the search is complete, and no leader acts against another

    Examples:
      | scope                  |
      | late answers           |
      | restart                |
      | repeat                 |
      | cut off                |
      | cut off, late          |
      | newcomer               |
      | newcomer claims        |
      | three leaders          |
      | three leaders, settled |
      | members                |
      | release                |
      | history dropped        |

  # Guards against a model that finds nothing: each rule is needed in some order.
  Scenario Outline: Without one of the rules two leaders act
    When the scope "<scope>" is tried with "<mutant>"
    Then a leader acts against another

    Examples:
      | scope              | mutant                                               |
      | cut off            | a refused connection confirms                        |
      | cut off            | no outage limit for the leader                       |
      | cut off            | an instance confirms before it has read the topic    |
      | cut off            | an instance confirms an older leader after a promise |
      | repeat             | a renewal counts from its repeat                     |
      | release            | a renewal counts before it is read                   |
      | cut off            | a successor doesn't wait for the lease               |
      | cut off            | promises of fewer than half suffice                  |
      | members            | unread acknowledgements are ignored                  |
      | three leaders      | settled is ignored                                   |
      | long: hidden claim | claimed is ignored                                   |

  Scenario: Four instances, one of them new, walk at random
    When four instances take random walks for 2 s from seed 1
    Then no leader acts against another

  @long
  Scenario Outline: No order of events has two leaders in wider scopes
    When all orders of events in the scope "<scope>" are tried
    Then the search is complete, and no leader acts against another

    Examples:
      | scope                        |
      | long: hidden claim           |
      | long: late renewal           |
      | long: three leaders, settled |
      | long: members                |
      | long: newcomer               |
      | long: release                |
      | long: release of three       |
      | long: renewals               |
