Feature: Names that leave the process stay unchanged

  Scenario Outline: Encoded data keeps its bytes and still decodes
    When the outer names of <section> are gathered
    Then the outer names are those committed
    And the committed bytes decode to equal values

    Examples:
      | section           |
      | union members     |
      | platform messages |
      | holder record     |
      | job records       |
      | state snapshot    |
      | recorded reply    |

  Scenario Outline: Data that is only written or only read keeps its names
    When the outer names of <section> are gathered
    Then the outer names are those committed

    Examples:
      | section            |
      | store records      |
      | JSON documents     |
      | enum values        |
      | platform metrics   |
      | fleet metrics      |
      | settings keys      |
      | platform settings  |
      | operators commands |
