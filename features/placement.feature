Feature: Placement uses learned sizes and the health of workers

  Scenario: Declared sizes are corrected by delayed reports
    Given a placement dispatcher over 4 workers
    When 40 jobs declaring 1000x1000 run, using 3000x2000, reported 2 s late
    Then the placement estimate for the next one is 3000x2000
    And no worker was overcommitted once the estimate was learned

  Scenario: A report covering a small part of a run does not lower an estimate
    Given a placement dispatcher over 4 workers
    When 20 jobs that declare 4000x4000 are reported early with 100x100 and then end
    Then the placement estimate for the next one is 4000x4000

  Scenario: Reports out of order do not override newer ones
    Given a placement dispatcher over 1 workers
    When a running task is reported with 6000x1000 and then by an older report with 100x100
    Then a further placement of 3000x1000 waits

  Scenario: Foreign tasks on a worker take up capacity
    Given a placement dispatcher over 1 workers
    When a report lists a foreign task that uses 6000x6000
    Then a further placement of 3000x1000 waits
    When a report no longer lists the foreign task
    Then the request that waited for placement has started

  Scenario: A report that still lists an ended task takes up no capacity
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

  Scenario: Jobs of a kind that always fails are refused except for trials
    Given a placement dispatcher over 4 workers
    When jobs of one kind always fail while others succeed, for 120 s
    Then at most 20 jobs of that kind were started for placement
    And the last one was refused with never-runs
    And no worker was ejected because of these jobs
    When the kind succeeds at its next trial
    Then a job of that kind is placed again

  Scenario: A worker that fails everything is ejected, probed and readmitted
    Given a placement dispatcher over 6 workers
    When worker 0 fails everything for 60 s
    Then worker 0 is ejected after at most 10 of its failures
    And it was probed at most 4 times, by repeatable jobs that are not urgent
    When worker 0 is healthy for 60 s
    Then no worker is ejected

  Scenario: The number of ejected workers is limited
    Given a placement dispatcher over 12 workers
    When workers 0,1,2,3,4,5 fail everything for 120 s
    Then at most 4 workers are ejected at any time

  Scenario: Jobs that fail on every worker eject no worker
    Given a placement dispatcher over 6 workers
    When jobs of two kinds fail on all workers for 60 s
    Then no worker was ejected for placement

  Scenario: Tasks of a service are spread over failure domains
    Given a placement dispatcher over 12 workers
    When 12 jobs that declare 1000x1000 are placed
    Then no rack holds more than 4 of them and no data centre more than 4

  Scenario: Best-fit placement leaves capacity for large jobs
    Given a placement dispatcher over 4 workers
    When the workers run foreign tasks of 1000,2000,3000,7000 and a job of 1000x1000 is placed
    Then the job is placed on the worker with a load of 7000

  Scenario: A search of the capacity index finds a worker whenever a scan does, if few fit
    When the capacity index of up to 32 random workers is searched for random sizes
    Then the capacity index and a linear scan agree on whether a worker fits
