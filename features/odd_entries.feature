Feature: Entries of other writers in the store
  # Guards against LOST: processes that end, or stop following, over one entry.
  Scenario: Processes go on beside entries that no worker writes
    When real processes read odd entries at their start and while they follow the list
    Then no process has ended, and jobs submitted after them are completed
