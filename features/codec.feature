Feature: Records are encoded and decoded without loss

  Scenario: Every record type survives a round trip
    When records of every type are encoded and decoded again
    Then each decoded record equals the original

  Scenario Outline: Malformed bytes give findings and no exception
    When <bytes> is decoded as a record
    Then decoding fails with a finding that mentions <words>

    Examples:
      | bytes                              | words       |
      | nothing                            | msgpack     |
      | an integer                         | $           |
      | an unknown record                  | $           |
      | a pulse with a number as its name  | incarnation |
      | a pulse with a text sequence       | sequence    |
      | a pulse with a huge sequence       | sequence    |
      | a pulse with a field too many      | extra       |
