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

  Scenario: A worker that is known again is dropped from the record
    Given 3 workers, of which one is removed and still listed, as it was moved
    And the store has both records
    When the removed one is known again
    Then the record has none

  Scenario: A damaged record of ended lives is replaced
    Given 3 workers, of which one is removed and still listed, as it was moved
    And the record of ended lives can't be read
    When 1 new leaders take over in turn
    Then the record has none

  Scenario: Ended lives are dropped from the record when the fleet's can't be read
    Given 3 workers, of which one is removed and still listed, as it was moved
    And the record of the fleet can't be read
    When 1 new leaders take over in turn
    Then the record has none

  Scenario: An ended life is dropped from the record in time
    Given 3 workers, of which one is removed and still listed, as it was moved
    When another one is moved 61 seconds later
    Then the record has the later one only

  # Guards against LOST: the worker's last write was read 50 ms after the order's answer.
  Scenario Outline: A successor leaves out late writes of an ended life
    Given 3 workers, of which one is removed and still listed, as it was moved
    And a new leader takes over
    When an entry of <life> is read <seconds> seconds later
    Then that leader takes the worker for <state>

    Examples: entries
      | life                         | seconds | state   |
      | the same life                | 0.1     | unknown |
      | the same life                | 9       | unknown |
      | the same life                | 11      | known   |
      | a later life                 | 0.1     | known   |
      | a life without time of birth | 0.1     | known   |

  Scenario Outline: A successor leaves out late writes though the worker wasn't listed
    Given 3 workers, of which one is removed and still listed, as it was moved
    And its entry has expired
    And a new leader takes over
    When an entry of <life> is read <seconds> seconds later
    Then that leader takes the worker for <state>

    Examples: entries
      | life          | seconds | state   |
      | the same life | 0.1     | unknown |
      | the same life | 11      | known   |
      | a later life  | 0.1     | known   |

  Scenario Outline: The leader that got the order's answer goes on reading the list
    Given 3 workers, of which one is removed and still listed, as it was <reason>
    When an entry of the same life is read <seconds> seconds later
    Then that leader takes the worker for known

    Examples: entries
      | reason      | seconds |
      | moved       | 0.1     |
      | moved       | 9       |
      | maintenance | 0.1     |

  Scenario: A life that a successor has ended itself is its own
    Given 3 workers, of which one is removed and still listed, as it was moved
    And a new leader takes over
    And an entry of the same life is read 11 seconds later
    And that leader has it moved again
    When an entry of the same life is read 0.1 seconds later
    Then that leader takes the worker for known

  # Guards against TWICE: something may have started on the worker since.
  Scenario Outline: A successor waits for a worker that another one knows again, <stored>
    Given 3 workers, of which one is removed and still listed, as it was moved
    And a new leader takes over
    And an entry of the same life is read 11 seconds later
    And the store has <stored>
    When 1 new leaders take over in turn
    Then no subtask of a stored job starts before the leases are over

    Examples: records
      | stored                               |
      | both records                         |
      | the fleet, but the older ended lives |

  # Guards against TWICE: the store may be away when the worker is known again.
  Scenario Outline: A worker that is known again gets no call before it is stored, <leader>
    Given a leader without the store that knows a moved worker again, <leader>
    When the worker's entry has been read
    Then the leader calls the worker only once the store has it again

    Examples: leaders
      | leader                         |
      | which had it moved             |
      | whose predecessor had it moved |
