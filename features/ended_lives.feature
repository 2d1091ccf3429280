Feature: Ended lives of workers
  Once an order for its machine was answered, a worker runs nothing more, though its entry
  stays listed. A successor doesn't wait for its lease, unless the entry may be of a later
  life or something may have started there since.

  # Guards against LOST: takeovers each 2 to 3 s, each with a wait of its own.
  Scenario Outline: A successor does not wait for a worker whose machine got an order
    Given 3 workers, of which one is removed and still listed, as it was <reason>
    When <count> new leaders take over in turn
    Then a subtask of a stored job starts within 1 s

    Examples: orders
      | reason      | count |
      | moved       | 1     |
      | moved       | 3     |
      | maintenance | 1     |

  Scenario Outline: A successor waits for a listed worker that may run something
    Given 3 workers, of which one is removed and still listed, as it was <reason>
    And <event>
    When 1 new leaders take over in turn
    Then no subtask of a stored job starts before the leases are over

    Examples: events
      | reason        | event                                                |
      | moved         | its entry is of a later life                         |
      | moved         | its entry gives no time of birth                     |
      | moved         | it is known again                                    |
      | moved         | it is known again, and the older record is left over |
      | moved         | the record of ended lives can't be read              |
      | moved         | the record of the fleet can't be read                |
      | left the list | nothing happens                                      |

  Scenario: A successor names an ended life again in its own record
    Given 3 workers, of which one is removed and still listed, as it was moved
    When 1 new leaders take over in turn
    And another one is moved 1 seconds later
    Then the record has both

  Scenario: A damaged record of ended lives is replaced
    Given 3 workers, of which one is removed and still listed, as it was moved
    And the record of ended lives can't be read
    When 1 new leaders take over in turn
    Then the record has none

  Scenario: An ended life is dropped from the record in time
    Given 3 workers, of which one is removed and still listed, as it was moved
    When another one is moved 61 seconds later
    Then the record has the later one only

  # Guards against LOST: the worker's last write was read 50 ms after the order's answer.
  Scenario Outline: A late write of an ended life does not make its worker known again
    Given a leader whose only worker is moved
    When an entry of <life> is read <seconds> seconds later
    Then that leader takes the worker for <state>

    Examples: entries
      | life                        | seconds | state   |
      | the same life               | 0.1     | unknown |
      | the same life               | 9       | unknown |
      | the same life               | 11      | known   |
      | a later life                | 0.1     | known   |
      | a life without time of birth | 0.1     | known   |
