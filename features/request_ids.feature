Feature: A request that may not be repeated runs at most once
  Random operations on a partition's memory of ids are checked against a plain
  record of what ran; mutants of the memory show that each check works.

  Scenario: The record of runs confirms every verdict on an id
    When random operations on ids run while the partition changes its owner
    Then the record of runs confirms every verdict

  Scenario Outline: The record of runs contradicts each mutant
    When random operations run on a memory with the fault <fault>
    Then the record of runs contradicts a verdict

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

  Scenario: An id accepted far in the future is unknowable to the next owner
    When an id as far ahead as allowed has run and its owner is replaced by one whose clock is behind
    Then the id is unknowable to the new owner
    When the new owner's memory has one skew too few in the horizon
    Then the id would run twice

  Scenario Outline: An invalid request id is refused as not run
    When the id <id> is looked up in a new memory
    Then the verdict on the id is not run

    Examples:
      | id                                   |
      | x                                    |
      | 01890a5d-ac96-474b-8c91-0d1f3a5d0a10 |
      | 01890A5D-AC96-774B-BCCE-B302099A8057 |
      | 01890a5dac96774bbcceb302099a8057     |

  Scenario: Answers beyond the size limit are not stored
    When 100 requests end with answers of 40000 bytes in one partition
    Then the memory of the partition keeps at most 1048576 bytes of answers
    And each of the 100 ids is reported as done

  Scenario: Ids are spread evenly over the partitions
    When 25600 ids are generated with the same timestamp
    Then each partition has between 50 and 160 of the ids
