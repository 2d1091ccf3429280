Feature: Every instance folds the log to the same state

  Scenario Outline: A patch gets the verdict that its operations call for
    Given the fold of a small fleet
    When the fold applies <patch>
    Then its verdict is <verdict> with findings at "<places>"

    Examples:
      | patch                              | verdict  | places                                               |
      | a new team                         | accepted |                                                      |
      | a new team against an old version  | stale    | base_version                                         |
      | a new team against a later version | stale    | base_version                                         |
      | no operation                       | refused  | operations                                           |
      | a queue of nothing known           | refused  | operations[0].queue.service_id                       |
      | three faults in two operations     | refused  | operations[0].team.share_weight operations[0].team.upper_limit_tasks operations[1].pool_id |
      | a second spare pool                | refused  | operations[0].pool.spare                             |
      | a pool removed that holds workers  | refused  | operations[0].pool_id operations[0].pool_id          |
      | a key with a plain hash            | refused  | operations[0].key.hash_hex operations[0].key.salt_hex |
      | a withdrawn key granted again      | refused  | operations[1].key.key_id                             |
      | a worker added twice               | refused  | operations[0].worker.worker_id                       |

  Scenario: A refused patch changes nothing but the verdicts
    Given the fold of a small fleet
    When the fold applies three faults in two operations
    Then only the verdicts and the offset of the fold have changed

  Scenario: Of two concurrent patches, the second names the first
    Given the fold of a small fleet
    When the fold applies two patches made against the same version
    Then the first is accepted, and the second is stale and names the first

  Scenario: A patch that is sent again keeps its first verdict
    Given the fold of a small fleet
    When the fold applies an accepted and a refused patch twice each
    Then the fold has one verdict for each and one new version

  Scenario Outline: The fold agrees with a reference implementation on random patches
    When random patches are folded <fold>
    Then the reference implementation <agrees>

    Examples:
      | fold                                  | agrees    |
      | as released                           | agrees    |
      | with stale patches let through        | disagrees |
      | with verdicts forgotten               | disagrees |
      | with operations applied up to a fault | disagrees |

  Scenario Outline: A record appended again after a lost response is folded once
    When random records are folded, each repeated at random later offsets, <fold>
    Then the state with repetitions is <same> the one without

    Examples:
      | fold                     | same         |
      | as released              | the same as  |
      | with sequences ignored   | unlike       |

  Scenario: A snapshot and the records after it give the state of all records
    When random records are folded with a snapshot at a random offset
    Then folding on from the snapshot gives the same state

  Scenario: Damaged parts of snapshots and records are skipped
    When random bytes are folded and read as parts of snapshots
    Then no exception is raised and each is counted as unreadable

  Scenario: A newer record format takes effect once every member can fold it
    When members of formats 1 and 2 join, and the older one leaves
    Then format 2 takes effect only after it left, also for a later old release
    And an old release that reads a record of format 2 then stops
