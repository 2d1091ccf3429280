Feature: Operators drive the fleet by the command line

  Scenario Outline: A command submits the operation that it names
    Given a cli fleet whose instances are fine
    When the operator runs cli '<command>'
    Then the cli exit code is 0
    And the cli says 'is version 2'
    And the cli log holds the operation <operation>

    Examples:
      | command                                                        | operation                                                                          |
      | team put guests --share-weight 1.5 --upper-limit-tasks 9       | type=put-team, team.share_weight=1.5, team.upper_limit_tasks=9                     |
      | team put couriers --upper-limit-tasks 300                      | type=put-team, team.share_weight=2.0, team.upper_limit_tasks=300                   |
      | pool put reserve                                               | type=put-pool, pool.pool_id=reserve, pool.spare=false                              |
      | pool put member-portal --spare                                 | type=put-pool, pool.spare=true                                                     |
      | move start member-portal-1 helium-quotes --id m1               | type=start-move, move_id=m1, from_pool_id=member-portal, to_pool_id=helium-quotes  |
      | wave start reboot --pool packing-slips --id w1 --hours 8-16    | type=start-wave, wave.pool_id=packing-slips, wave.working_hours.end_hour=16        |
      | wave start reboot --pool packing-slips --id w1 --hours 22-6    | type=start-wave, wave.working_hours.start_hour=22, wave.working_hours.end_hour=6   |
      | wave start drain --worker carton-stock-1 --order data-centre   | type=start-wave, wave.order=data-centre, wave.action=drain, wave.worker_ids.0=carton-stock-1 |

  Scenario Outline: A generated id is printed
    Given a cli fleet whose instances are fine
    When the operator runs cli '<command>'
    Then the cli says '<kind> <kind>-'
    When the operator runs cli '<other> --json'
    Then the cli exit code is 0
    And the cli answer is one JSON document with verdict, <kind>_id

    Examples:
      | kind | command                                          | other                                            |
      | wave | wave start reboot --pool packing-slips           | wave start drain --pool carton-stock             |
      | move | move start member-portal-1 helium-quotes         | move start member-portal-3 helium-quotes         |

  Scenario Outline: An operation is ended by its id
    Given a cli fleet whose instances are fine
    When the operator runs cli '<begin>'
    And the operator runs cli '<end>'
    Then the cli exit code is 0
    And the cli says 'is version 3'

    Examples:
      | begin                                                     | end                |
      | pool put reserve                                          | pool remove reserve |
      | team put guests --share-weight 1 --upper-limit-tasks 1    | team remove guests |
      | move start member-portal-1 helium-quotes --id m1          | move abort m1      |
      | wave start reboot --pool packing-slips --id w1            | wave pause w1      |
      | wave start reboot --pool packing-slips --id w1            | wave abort w1      |

  Scenario Outline: Each answer and each failure maps to an exit code
    Given a cli fleet whose instances are <instances>
    When the operator runs cli 'pool put reserve'
    Then the cli exit code is <code>
    And the cli says '<words>'
    And the cli log received <count> patches

    Examples:
      | instances         | code | count | words                          |
      | fine              | 0    | 1     | accepted: patch                |
      | down, fine        | 0    | 1     | accepted: patch                |
      | failing, fine     | 0    | 2     | accepted: patch                |
      | down, down        | 3    | 0     | Connection refused             |
      | wrong token, fine | 2    | 0     | CICADATRAIL_TOKEN was rejected |
      | page              | 3    | 0     | did not respond with JSON      |
      | truncated         | 3    | 0     | sent an invalid response       |
      | huge              | 3    | 0     | bytes long                     |

  Scenario Outline: An unresponsive instance is abandoned after the timeout
    Given a cli fleet whose instances are <instances>
    When the operator runs cli 'pool put reserve --timeout-s 1'
    Then the cli exit code is <code>
    And the cli says '<words>'
    And the cli log received <count> patches

    Examples:
      | instances    | code | count | words                   |
      | silent, fine | 0    | 1     | accepted: patch         |
      | silent       | 3    | 0     | sent no response in 1 s |

  Scenario Outline: A patch whose answer is lost gets its first verdict or is unknown
    Given a cli fleet whose instances are <instances>
    And the cli patch file says
      """
      operations = [{ type = "put-pool", pool = { pool_id = "reserve" } }]
      """
    When the operator runs cli 'patch apply FILE --base 1'
    Then the cli exit code is <code>
    And the cli says '<words>'
    And the cli log received <count> patches

    Examples:
      | instances         | code | count | words                                 |
      | lost, fine        | 0    | 2     | is version 2                          |
      | truncated, fine   | 0    | 2     | is version 2                          |
      | crossed, fine     | 0    | 2     | is version 2                          |
      | mismatched, fine  | 0    | 2     | is version 2                          |
      | page, fine        | 0    | 2     | is version 2                          |
      | log down, fine    | 0    | 1     | is version 2                          |
      | lost              | 3    | 1     | may have been applied                 |
      | lost, down        | 3    | 1     | cicadatrail patch verdict             |
      | lost, wrong token | 3    | 1     | may have been applied                 |
      | lost, bad input   | 3    | 1     | may have been applied                 |
      | crossed           | 3    | 1     | returned the verdict of another patch |
      | mismatched        | 3    | 1     | with a mismatched verdict             |
      | log down, down    | 3    | 0     | the log is down                       |
      | forgetful         | 3    | 0     | no instance knows                     |
      | bad input         | 2    | 0     | operations: odd                       |
      | down              | 3    | 0     | no instance answered                  |

  Scenario: Read-only commands report a wrong token too
    Given a cli fleet whose instances are wrong token, fine
    When the operator runs cli 'status'
    Then the cli exit code is 2
    And the cli says 'CICADATRAIL_TOKEN was rejected'

  Scenario: A refusal shows every finding
    Given a cli fleet whose instances are fine
    When the operator runs cli 'pool remove packing-slips'
    Then the cli exit code is 1
    And the cli says 'refused: patch'
    And the cli says 'version 1 is in force'

  Scenario: A value that only the fold can check is refused by it
    Given a cli fleet whose instances are fine
    When the operator runs cli 'wave start reboot --pool packing-slips --hours 9-25'
    Then the cli exit code is 1
    And the cli says 'operations[0].wave.working_hours.end_hour: must be from 0 to 24'

  Scenario: A patch that lost a race is reported as stale, with the changes since
    Given a cli fleet whose instances are fine
    And another operator's cli patch is accepted first
    When the operator runs cli 'pool put reserve'
    Then the cli exit code is 1
    And the cli says 'refused as stale'
    And the cli says 'changed since: patch rival (version 2, by bogdan)'

  Scenario: A file with an id may be applied again
    Given a cli fleet whose instances are fine
    And the cli patch file says
      """
      patch_id = "reserve-pool"
      base_version = 1
      [[operations]]
      type = "put-pool"
      pool = { pool_id = "reserve" }
      """
    When the operator runs cli 'patch apply FILE'
    And the operator runs cli 'patch apply FILE --json'
    Then the cli exit code is 0
    And the cli answer is one JSON document with verdict
    When the operator runs cli 'patch verdict reserve-pool'
    Then the cli exit code is 0
    And the cli says 'reserve-pool is version 2'

  Scenario Outline: An invalid command line is bad input and contacts no instance
    Given a cli fleet whose instances are fine
    And the cli environment variable <name> is '<value>'
    When the operator runs cli '<command>'
    Then the cli exit code is 2
    And the cli says '<words>'
    And the cli contacted no instance

    Examples:
      | name                  | value                 | command                         | words                       |
      | CICADATRAIL_TOKEN     | nothing               | status                          | CICADATRAIL_TOKEN: must     |
      | CICADATRAIL_TOKEN     | a b                   | status                          | CICADATRAIL_TOKEN: must     |
      | CICADATRAIL_INSTANCES | nothing               | status                          | names no instance           |
      | CICADATRAIL_INSTANCES | 127.0.0.1:1, host:1   | status                          | 'host:1' is not IP:PORT     |
      | CICADATRAIL_INSTANCES | 127.0.0.1:65536       | status                          | is not IP:PORT              |
      | OTHER                 | x                     | status --instance 127.0.0.1     | is not IP:PORT              |
      | OTHER                 | x                     | status --timeout-s soon         | --timeout-s: must           |
      | OTHER                 | x                     | status --nope                   | "--nope"                    |
      | OTHER                 | x                     | team                            | does not exist              |
      | OTHER                 | x                     | team put                        | team                        |
      | OTHER                 | x                     | patch apply FILE                | cannot be read              |
      | OTHER                 | x                     | patch apply FILE --base=-1      | --base: must                |
      | OTHER                 | x                     | patch apply FILE --base ²       | --base: must                |

  Scenario Outline: Invalid values are reported together before anything is submitted
    Given a cli fleet whose instances are fine
    When the operator runs cli '<command>'
    Then the cli exit code is 2
    And the cli says '<first>'
    And the cli says '<second>'
    And the cli log received 0 patches

    Examples:
      | command                                                       | first                   | second               |
      | team put guests                                               | --share-weight: must    | --upper-limit-tasks: |
      | team put guests --share-weight nan --upper-limit-tasks 1.5    | not 'nan'               | not '1.5'            |
      | wave start mend --order street --hours 9                      | drain, reboot, replace  | rack, data-centre    |
      | wave start reboot --hours x-8 --concurrency-limit 0           | --hours: must           | --concurrency-limit  |
      | wave start reboot                                             | --pool:                 | --worker             |
      | move start nobody helium-quotes                               | worker:                 | is in no pool        |
      | pool put reserve --wait-limit-s never                         | --wait-limit-s: must    | not 'never'          |

  Scenario Outline: Waiting submits a patch without a verdict again
    Given a cli fleet whose instances are <instances>
    When the operator runs cli 'pool put reserve --wait --wait-limit-s <limit>'
    Then the cli exit code is <code>
    And the cli says '<words>'
    And the cli log received <count> patches

    Examples:
      | instances     | limit | code | count | words                 |
      | log down once | 60    | 0    | 1     | in force at all 1     |
      | log down      | 0.1   | 3    | 0     | may have been applied |

  Scenario: Waiting shows each instance reaching the version
    Given a cli fleet whose instances are fine, fine, fine
    And cli instance 2 shows a new version after 3 reads
    And the cli instances know a member e9 at version 2
    When the operator runs cli 'pool put reserve --wait'
    Then the cli exit code is 0
    And the cli says '3/4'
    And the cli says '4/4'
    And the cli says 'in force at all 4 instances'

  Scenario: Waiting includes members that the command line doesn't name
    Given a cli fleet whose instances are fine, fine
    And the cli instances know cli instance 2 by its address
    And cli instance 2 shows a new version after 2 reads
    When the operator runs cli 'pool put reserve --wait'
    Then the cli exit code is 0
    And the cli says 'in force at all 2 instances'

  Scenario: Waiting stops at its limit and names the instances that are behind
    Given a cli fleet whose instances are fine, fine
    And cli instance 2 shows a new version after -1 reads
    And the cli instances know a member e9 at version 1
    When the operator runs cli 'pool put reserve --wait --wait-limit-s 0.1 --json'
    Then the cli exit code is 3
    And the cli answer is one JSON document with verdict, reached, missing
    And the cli says '"missing": ["e2", "e9"]'

  Scenario Outline: A wave is watched to its end
    Given a cli fleet whose instances are fine
    And a cli wave w1 that goes through <statuses>
    When the operator runs cli 'wave watch <wave> --wait-limit-s <limit>'
    Then the cli exit code is <code>
    And the cli says '<words>'

    Examples:
      | statuses              | wave | limit | code | words                       |
      | running, paused, done | w1   | 60    | 0    | wave w1 is done             |
      | running, aborted      | w1   | 60    | 1    | wave w1 is aborted          |
      | paused                | w1   | 0.1   | 3    | wave w1 is still paused     |
      | running               | w2   | 60    | 2    | 'w2' is unknown             |

  Scenario: A key is generated locally, shown once and sent only as a hash
    Given a cli fleet whose instances are fine
    When the operator runs cli 'key grant weddings --json'
    Then the cli exit code is 0
    And the shown cli key matches the granted entry and was never sent
    When the operator runs cli 'key list'
    Then the cli says 'weddings  granted'

  Scenario Outline: A key that may be in force is shown, a refused one is not
    Given a cli fleet whose instances are <instances>
    When the operator runs cli 'key grant <team>'
    Then the cli exit code is <code>
    And the cli <tells> 'ct_'

    Examples:
      | instances | team     | code | tells        |
      | log down  | weddings | 3    | says         |
      | fine      | nobody   | 1    | does not say |

  Scenario Outline: Everything is shown as text and as JSON
    Given a cli fleet whose instances are fine
    And a cli wave w1 that goes through running
    When the operator runs cli '<command>'
    Then the cli exit code is 0
    And the cli says '<words>'
    When the operator runs cli '<command> --json'
    Then the cli exit code is 0
    And the cli says '<json>'

    Examples:
      | command        | words                                     | json                           |
      | config show    | packing-slips-1      packing-slips        | "pool_of"                      |
      | config history | example                                   | "operator": "ana"              |
      | team list      | weddings                                  | "upper_limit_tasks": 400       |
      | pool list      | member-portal                             | "spare": true                  |
      | move list      | WORKER                                    | []                             |
      | wave list      | w1    reboot  running                     | "pause_reason"                 |
      | key list       | KEY                                       | []                             |
      | status         | ALARM log-down for 12 s: <b>no?answer</b> | "name": "log-down"             |
      | status         | 40.0%                                     | "share_due": 0.4               |

  Scenario: Help imports no heavy module
    When the cli is started for '--help'
    Then the cli lists every command and has imported no heavy module

  Scenario Outline: An invalid patch file is reported with its findings
    When a cli patch file says '<content>'
    Then the cli patch file has the finding '<place>' with '<words>'

    Examples:
      | content                                                         | place                               | words            |
      | x = %                                                           | p.toml                              | line 1, column 5 |
      | operations = 7                                                  | p.toml: operations                  | list             |
      | operations = []                                                 | p.toml: operations                  | one or more      |
      | patch_id = 7                                                    | p.toml: patch_id                    | expected str     |
      | base_version = "x"                                              | p.toml: base_version                | expected int     |
      | version = 1                                                     | p.toml                              | version          |
      | operations = [7]                                                | p.toml: operations[0]               | must be a table  |
      | operations = [{}]                                               | p.toml: operations[0].type          | must be one of   |
      | operations = [{type = "put-pol"}]                               | p.toml: operations[0].type          | put-pool         |
      | operations = [{type = "put-pool", pool = {}}]                   | p.toml: operations[0].pool.pool_id  | missing          |
      | operations = [{type = "put-pool", pool = 1}]                    | p.toml: operations[0].pool          | expected         |
      | operations = [{type = "remove-pool", pool_id = 1}, 7]           | p.toml: operations[0].pool_id       | expected str     |
      | operations = [{type = "remove-pool", pool_id = 1}, 7]           | p.toml: operations[1]               | must be a table  |
      | operations = [{type = "remove-pool", pool_id = "a", more = 1}]  | p.toml: operations[0]               | more             |

  Scenario: Any file content yields a patch or findings
    Then any cli patch file, however malformed, yields a patch or findings

  Scenario Outline: Any answer yields an outcome and no exception
    Given a cli fleet whose instances are noise
    Then no malformed answer gives a known outcome to cli '<command>'

    Examples:
      | command           |
      | status            |
      | config show       |
      | patch verdict x   |

  Scenario: Any answer to a patch yields an outcome and no exception
    Given a cli fleet whose instances are noise
    And the cli patch file says
      """
      operations = [{ type = "put-pool", pool = { pool_id = "reserve" } }]
      """
    Then no malformed answer gives a known outcome to cli 'patch apply FILE --base 1'

  Scenario Outline: An aborted command reports the outcome as unknown
    Given a cli fleet whose instances are fine
    When the operator runs cli 'pool put reserve' and <error> is raised
    Then the cli exit code is 3
    And the cli says '<words>'

    Examples:
      | error        | words                 |
      | an interrupt | may have been applied |
      | a fault      | internal fault        |

  Scenario: The operators' page documents only what exists
    Then the operators' page names only cli commands that exist
    And the cli patch file of the operators' page is valid

  Scenario: A key matches only its own entry
    Then a cli key matches its own entry and no other

  Scenario: A string in place of a list of workers is a finding
    When a cli patch file says 'operations = [{type = "start-wave", wave = {wave_id = "w", action = "drain", worker_ids = "w1"}}]'
    Then the cli patch file has the finding 'p.toml: operations[0].wave.worker_ids' with 'expected'
