Feature: What clients may hold of a machine
  Sums of bodies are bounded for a process, and the limits follow from its machine.

  Scenario: Bodies wait for the budget in turn
    Given a budget of 100 KiB of which 60 are taken
    When bodies of 50, 50 and 20 KiB ask for it in this order
    Then all of them wait
    And the first is admitted once the 60 KiB are given back, then the third after it

  Scenario: A body that stops waiting leaves its place to the next
    Given a budget of 100 KiB of which 60 are taken
    When bodies of 50, 50 and 20 KiB ask for it in this order
    And the first two give up
    Then the third is admitted at once
    And nothing is in use once it and the 60 KiB are given back

  Scenario: A body over the whole budget is admitted alone
    Given a budget of 100 KiB of which 0 are taken
    Then a body of 150 KiB is admitted, and none beside it

  Scenario: Large requests leave the reserve to small ones
    Given a budget of 100 KiB with a reserve of 25 KiB
    Then 70 KiB are admitted, then 8 KiB and 22 times 1 KiB, but neither 20 KiB nor more

  Scenario: Most connections close while few linger
    When a full server refuses more connections than may linger
    Then as many as may linger stay open, and the others are closed at once

  Scenario: A full server drops a connection without a head for a caller
    When a server is full of connections that have sent nothing for some time
    Then a caller is served, and the oldest of them is dropped

  # Guards against a crowd that is served once and keeps its connections.
  Scenario: A full server drops a connection that is idle for a caller
    When a server is full of connections that were served and are idle for some time
    Then a caller is served, and the oldest of them is dropped

  # Guards against heads whose parts take many times the bytes that were sent.
  Scenario: A head of very many headers takes no more than a connection's memory
    When 20 connections wait for their answers to heads of 2000 headers
    Then each of them takes less memory than a connection may

  Scenario Outline: Limits fit a machine of <memory> MB and <descriptors> descriptors
    Then a machine of <memory> MB and <descriptors> descriptors takes <connections> callers
    And their bodies, connections and peers' requests fit its memory and descriptors
    And a body of 256 KiB is admitted in calm

    Examples: machines
      | memory | descriptors | connections |
      | 112    | 500         | 200         |
      | 200    | 4100        | 1066        |
      | 300    | 4100        | 1600        |
      | 552    | 8192        | 2500        |

  Scenario: The subtasks of all open jobs are bounded, and room comes back
    Given a leader whose open jobs have 70000 subtasks
    Then a job of 40000 subtasks is taken on, and none of 20000 after it
    And small jobs are taken on
    And a job of 100000 subtasks is taken on once the others have ended
