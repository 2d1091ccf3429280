Feature: Admission of jobs under overload
  A job that would only come too late is refused at once, with the time after which its
  caller should send it again. The forecast is optimistic: refusing wrongly is worse.

  Scenario Outline: A surge of five times the usual load, with a hot team and cancels
    Given a load of callers with seed <seed>
    When it is played with admission and with every job accepted
    Then callers are refused in the surge and only there
    And four of five refused callers would have got nothing by being accepted
    And no queue and no team is served less within its objective
    And callers wait no longer in all, and none is refused more than 3 times
    And every accepted job is done

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

  Scenario: Refused callers come back in order and not at one time
    Given a queue that 40 jobs of each team and queue are refused for
    Then the urgent ones of the least-served team come back first
    And no second has more than a third of those who come back

  Scenario Outline: Work that is never refused for coming late
    Given work ahead for 10 minutes
    Then admission accepts <job>
    And a plain job is refused

    Examples:
      | job                                    |
      | a long-running job                     |
      | a scheduled job                        |
      | a best-effort job                      |
      | a job of a queue without an objective  |
      | a job of an urgent queue               |
      | a job that is due much later           |
      | a job that machines on standby serve   |

  Scenario: A job larger than any worker is accepted, as workers grow
    Given a fleet without work
    Then admission accepts a job larger than any worker

  Scenario: Only a team at its limit is refused for its own work
    Given a team whose limit leaves its accepted work a minute
    Then its next job is refused and another team's is accepted

  Scenario: Urgent work beyond its team's limit leaves the rest to other teams
    Given a team whose limit is half of the fleet and its urgent work of a minute
    Then admission accepts a plain job

  Scenario: Machines of an evacuated data centre serve no work ahead
    Given work that a fleet and its standby machines end in time
    Then admission accepts a plain job
    When the data centre of half of them is evacuated
    Then a plain job is refused

  Scenario: A job that was accepted but not stored doesn't count as work
    Given an idle fleet and 400 urgent jobs that were accepted and then dropped
    Then admission accepts a plain job

  Scenario: Half of the workers are lost after admission
    Given a load of callers with seed 14
    When half of the workers are lost in the surge
    Then every accepted job is done
    And nothing of a refused job has started

  Scenario: A new leader knows nothing of refusals
    Given a load of callers with seed 15
    When a new leader takes over in the surge
    Then it refuses nothing before the workers have reported
    And every accepted job is done
    And nothing of a refused job has started

  Scenario Outline: A leader that can't foresee accepts
    Given work ahead for 10 minutes
    And <state>
    Then admission accepts a plain job

    Examples:
      | state                                    |
      | a worker has not reported to this leader |
      | a newer leader may have been elected     |
      | the machine list has not been read       |
      | the decision fails                       |

  # Guards against REFUSED and LOST.
  Scenario: A refused job never runs, and a repeat of an accepted one is not refused
    When more jobs than can be served in time are submitted and the leader is killed
    Then the last ones were refused with a time to come back
    And the repeats of the accepted ones got 200 and all of them are completed
    And nothing of the refused ones has started
