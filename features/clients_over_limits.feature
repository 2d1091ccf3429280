@alone
Feature: Clients beyond the limits
  Instances run as processes with little memory and few descriptors. A crowd sends what
  no client may send, or holds what it sent. Each process lives on, within the memory
  and descriptors of its machine, and serves an ordinary caller afterwards.

  Scenario Outline: An instance survives clients that <behaviour>
    Given an instance on a small machine
    When a crowd of clients would <behaviour>
    Then each process still runs
    And its peak memory stayed within the machine's
    And its open descriptors stayed within the machine's
    And an ordinary submission is accepted and its job completed

    Examples: crowds
      | behaviour                                    |
      | announce bodies far over the limit and send  |
      | send bodies far over the limit in chunks     |
      | announce bodies far over the limit and stop  |
      | never finish bodies just under the limit     |
      | never finish bodies just under it in chunks  |
      | open connections and send nothing            |
      | open connections and send heads only in part |
      | pipeline requests and read no answer         |

  Scenario: A leader survives other instances that pass on large bodies
    Given an instance on a small machine
    When other instances pass on large bodies during its takeover
    Then each process still runs
    And its peak memory stayed within the machine's
    And its open descriptors stayed within the machine's
    And an ordinary submission is accepted and its job completed

  Scenario: A leader survives small bodies that ask for very many subtasks
    Given an instance on a machine of 200 MB
    When clients submit jobs of 60000 subtasks each, and cancel them
    Then each process still runs
    And its peak memory stayed within the machine's
    And its open descriptors stayed within the machine's
    And an ordinary submission is accepted and its job completed

  Scenario: A body of exactly the configured limit is accepted, and no longer one
    Given an instance on a small machine
    When bodies and heads of the configured limits are sent in calm, and longer ones
    Then the longer ones get 413 and 431, and the others 200
    And a newer configuration's limits take effect

  Scenario: The product's own daemon holds little of each connection
    Given the product's daemon as a process
    When 600 connections each send a head of 300000 bytes that has no end
    Then the daemon still runs
    And its peak memory grew by less than 64 KiB for each connection
