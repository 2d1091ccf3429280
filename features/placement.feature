Feature: Placement goes by learned sizes and by how workers fare

  Scenario: Declared sizes are corrected from lagged reports
    Given a placement dispatcher over 4 workers
    When 40 jobs declaring 1000x1000 run, using 3000x2000, reported 2 s late
    Then the placement estimate for the next one is 3000x2000
    And no worker was given more than it holds once the estimate was learned

  Scenario: A report covering a small part of a run does not lower an estimate
    Given a placement dispatcher over 4 workers
    When 20 jobs that declare 4000x4000 are reported early with 100x100 and then end
    Then the placement estimate for the next one is 4000x4000

  Scenario: Reports that come crossed or late do not undo newer ones
    Given a placement dispatcher over 1 workers
    When a running task is reported with 6000x1000 and then an older report says 100x100
    Then a further placement of 3000x1000 waits

  Scenario: What others run on a worker takes room
    Given a placement dispatcher over 1 workers
    When a report shows a task of someone else that uses 6000x6000
    Then a further placement of 3000x1000 waits
    When a report shows that it is gone
    Then what waited for placement has started

  Scenario: A report that still lists an ended task takes no room
    Given a placement dispatcher over 1 workers
    When a task ends and a late report still lists it with 8000x8000
    Then a further placement of 3000x1000 starts

  Scenario Outline: A job that fits no worker of its pool is refused at submission
    Given a placement dispatcher over 4 workers
    When a job that declares <size> is submitted for placement
    Then the placement verdict is <verdict>

    Examples:
      | size      | verdict        |
      | 8000x8000 | placed         |
      | 8001x1    | fits-no-worker |
      | 1x8001    | fits-no-worker |

  Scenario: A job that is learned never to run is refused, but for trials
    Given a placement dispatcher over 4 workers
    When jobs of one kind always fail while others succeed, for 120 s
    Then at most 20 jobs of that kind were started for placement
    And the last one was refused with never-runs
    And no worker is ejected for it
    When the kind succeeds at its next trial
    Then a job of that kind is placed again

  Scenario: A worker that fails everything is ejected, probed and brought back
    Given a placement dispatcher over 6 workers
    When worker 0 fails everything for 60 s
    Then worker 0 is ejected after at most 10 of its failures
    And it was probed at most 4 times, by repeatable jobs that are not urgent
    When worker 0 is well for 60 s
    Then no worker is ejected

  Scenario: Ejections are capped
    Given a placement dispatcher over 12 workers
    When workers 0,1,2,3,4,5 fail everything for 120 s
    Then at most 4 workers are ejected at any time

  Scenario: Jobs that fail wherever they run eject nobody
    Given a placement dispatcher over 6 workers
    When jobs of two kinds fail on all workers for 60 s
    Then no worker was ejected for placement

  Scenario: Tasks of a service are spread over failure domains
    Given a placement dispatcher over 12 workers
    When 12 jobs that declare 1000x1000 are placed
    Then no rack holds more than 4 of them and no data centre more than 4

  Scenario: Placing best fit leaves room for large jobs
    Given a placement dispatcher over 4 workers
    When the workers hold 1000,2000,3000,7000 and a job of 1000x1000 is placed
    Then it goes to the worker that holds 7000

  Scenario: A search finds a worker whenever a scan does, if few have the room
    When random rooms of up to 32 workers are searched for random sizes
    Then the room index and a scan agree on whether a worker fits
