Feature: Input and output of the platform adapter
  Input may be malformed or late, and output may not be read at all.

  Scenario: Settings are checked and every finding is reported at once
    When settings lack a store, have a bad address and a string for a number
    Then the check reports all three with their place and starts nothing

  Scenario: Malformed entries from other writers are rejected without an error
    Then random entries, configurations, waves and lists decode or are rejected

  Scenario: Documents with one wrong value are rejected without an error
    Then configurations, workers, waves, machines, reports and jobs with it are rejected

  Scenario: A request whose permission expires while it connects is not sent
    When a permission expires while a connection is opened
    Then the server gets nothing and the outcome is not-sent

  Scenario: A message that fails to be handled leaves a log line and the peer going on
    When a peer sends an unknown message, and then a request that fails
    Then each leaves a log line, and a valid request is answered after them

  Scenario: A valid worker entry is decoded completely
    Then a draining worker's entry gives its pool, capacity, rack and time left

  Scenario: A caller's request is checked before it is forwarded
    Then the queue with the longest prefix takes a call and bad calls get their status

  Scenario: A stalled reader of the output does not slow down logging
    When nobody reads the output while 20000 lines are logged
    Then logging them took less than 3 seconds and dropped lines are counted

  Scenario: A burst of refusals stays within the log rate limit
    When 5000 lines of one logger are logged within a second
    Then at most 400 lines a second are written and the next reports the rest

  Scenario: Each log line of a decision carries its inputs and their age
    When a job is accepted, refused and run on the stand-ins
    Then the lines of each carry its id, its inputs, their age and the outcome
