Feature: A request that may not be repeated runs at most once

  Scenario: Every verdict on an id is one that the naive record allows
    When ids are driven at random through holders that come and go
    Then the naive record objects to no verdict on an id

  Scenario Outline: The naive record objects to a broken memory of ids
    When ids are driven at random through holders with <fault>
    Then the naive record objects to a verdict on an id

    Examples:
      | fault                              |
      | no horizon after an unknown holder |
      | no skew in the horizon             |
      | no horizon after dropping          |
      | running ids taken from an old copy |
      | future ids taken                   |
      | ids forgotten when they end        |
      | unknown for everything             |
      | no bound on entries                |

  Scenario: An id taken far ahead is unknowable to the next holder
    When an id as far ahead as may be is run, and its holder is lost to one whose clock is behind
    Then the id is unknowable to that one
    When the memory of ids is broken by one skew too few in the horizon
    Then the id would run twice

  Scenario Outline: What is no request id is refused as not run
    When the id <id> is asked of a new memory
    Then the verdict on the id is not run

    Examples:
      | id                                   |
      | x                                    |
      | 01890a5d-ac96-474b-8c91-0d1f3a5d0a10 |
      | 01890A5D-AC96-774B-BCCE-B302099A8057 |
      | 01890a5dac96774bbcceb302099a8057     |

  Scenario: Answers that are too large or too many are not kept
    When 100 requests end with answers of 40000 bytes in one partition
    Then the memory of the partition keeps at most 1048576 bytes of answers
    And each of the 100 ids is known to be done

  Scenario: Ids spread evenly over the partitions
    When 25600 ids are made at one time
    Then each partition has between 50 and 160 of the ids
