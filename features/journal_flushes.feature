Feature: Each flush of the journal ends, also when the journal fails

  Scenario: A flush does not wait for ever when the journal fails after its append
    When a journal fails while it marks its records as stored
    Then the flush that waited for them has failed
