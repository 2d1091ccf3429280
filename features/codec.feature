Feature: Shared types survive their coding

  Scenario: Every record comes back as it was written
    When records of every type are coded to bytes and back
    Then each comes back equal

  Scenario Outline: Bad bytes give findings and no exception
    When <bytes> is read as a record
    Then it is refused with a finding that mentions <words>

    Examples:
      | bytes                              | words       |
      | nothing                            | msgpack     |
      | an integer                         | $           |
      | an unknown record                  | $           |
      | a pulse with a number as its name  | incarnation |
      | a pulse with a text sequence       | sequence    |
      | a pulse with a huge sequence       | sequence    |
      | a pulse with a field too many      | extra       |
