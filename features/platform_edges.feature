Feature: The edges of the platform's adapter
  What comes from outside may be malformed, late or not read at all.

  Scenario: Settings are checked with every finding at once
    When settings lack a store, name a bad address and hold a text for a number
    Then the check names all three with their place and starts nothing

  Scenario: Entries from other writers name no worker and harm nothing
    Then random entries, configurations, waves and lists decode or are left out

  Scenario: A worker's entry that can be read is decoded whole
    Then a draining worker's entry gives its pool, capacity, rack and time left

  Scenario: A caller's request is checked before it goes anywhere
    Then the queue with the longest prefix takes a call and others get their status

  Scenario: A reader of the output that stalls slows nothing
    When nobody reads the output while 20000 lines are logged
    Then logging them took less than 3 seconds and the losses are counted

  Scenario: A burst of refusals stays within the limit of lines
    When 5000 lines of one part are logged within a second
    Then at most 400 lines a second are written and the next one tells the count

  Scenario: Each line of a decision carries its inputs and their age
    When a job is accepted, refused and run on the stand-ins
    Then the lines of each carry its id, its inputs, their age and the outcome
