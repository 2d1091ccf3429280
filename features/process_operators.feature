Feature: Real processes agree on what operators change

  Scenario: A withdrawn key stops at every instance within three seconds
    Given three entry instances as processes
    When a key is withdrawn through one of the processes
    Then within 3 s every process refuses the key as not run

  Scenario: A patch whose answer the log loses is in force once
    Given three entry instances as processes
    When the log loses three answers while a patch is sent to the processes
    Then the patch made one new version at every process

  Scenario: While the log is down a patch is unknown, and later has its verdict
    Given three entry instances as processes
    When a patch is sent to the processes while the log is down for 6 s
    Then it is told as unknown, and within 5 s after the log is back it is accepted

  Scenario: Replacing all instances one by one keeps the configuration
    Given three entry instances as processes
    When each of the processes is terminated and started again in turn
    Then the processes serve with the configuration from before

  Scenario: Restarting all instances at once keeps the configuration
    Given three entry instances as processes
    When all processes are killed and started again at once
    Then the processes serve with the configuration from before

  Scenario: An instance that can't join while the log is down still ends when asked
    Given three entry instances as processes
    When one of the processes is started again while the log is down
    Then it ends within 5 s of being asked
