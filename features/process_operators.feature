Feature: Entry instances as processes agree on operators' changes

  Scenario: A withdrawn key is refused by every instance within three seconds
    Given three entry instances as processes
    When a key is withdrawn through one of the processes
    Then within 3 s every process refuses the key as not run

  Scenario: A patch whose acknowledgement the log loses is applied once
    Given three entry instances as processes
    When the log loses three answers while a patch is sent to the processes
    Then the patch made one new version at every process

  Scenario: A patch sent while the log is down is unknown and gets its verdict later
    Given three entry instances as processes
    When a patch is sent to the processes while the log is down for 6 s
    Then its outcome is unknown, and within 5 s after the log is back it is accepted

  Scenario: Replacing all instances one by one keeps the configuration
    Given three entry instances as processes
    When each of the processes is terminated and started again in turn
    Then the processes serve with the previous configuration

  Scenario: Restarting all instances at once keeps the configuration
    Given three entry instances as processes
    When all processes are killed and started again at once
    Then the processes serve with the previous configuration

  Scenario: An instance that can't join while the log is down still ends when asked
    Given three entry instances as processes
    When one of the processes is started again while the log is down
    Then it ends within 5 s of being asked
