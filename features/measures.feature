Feature: The calculation behind the measures

  Scenario: The slots due to teams follow their weights
    When slots are divided among random teams for the measures
    Then no team is due more than it wants and no slot is unused while one is wanted
    And a team that is due less than it wants is due no less by weight than others

  Scenario: The same seed gives the same measures and no budget is breached
    When the balloon association is measured twice with seed 3
    Then both measures are equal and no budget was breached
    And a static split misses more of the shares than this version
