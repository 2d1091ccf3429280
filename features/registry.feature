Feature: Registry of the instances that may claim leadership
  A leader without the store goes on only while a majority of the instances that it knows
  confirms it, and none objects.

  # Guards against TWICE: one answering peer was enough to go on without the store.
  Scenario: A leader without the store stops when one instance objects
    When the store is down and one of three instances does not confirm the leader
    Then the leader may neither start subtasks nor renew leases until it does

  Scenario: A leader without the store goes on when an instance has ended
    When the store is down and one of three instances has been killed
    Then the leader may start subtasks all the while

  # Guards against TWICE: machines that refuse connections may be behind a filter.
  Scenario: Refused connections confirm no leader
    When the store is down and two of three instances have been killed
    Then the leader may neither start subtasks nor renew leases after its lease

  # Guards against TWICE: it may have promised to follow a newer leader before.
  Scenario: An instance that has restarted confirms no leader before it has read the topic
    When an instance has started and not read the leader's topic
    Then it confirms no leader, and after reading only the newest

  # Guards against TWICE: a claim that got no answer may still be carried out.
  Scenario: An instance whose claim got no answer confirms no leader
    When an instance has claimed leadership and got no answer
    Then it confirms the leader only after the topic has moved on

  Scenario: A leader acknowledges the instances that register in its time
    Given a leader that knows two instances
    When a third registers
    Then the third is known to the leader with its next renewal, and not before

  Scenario: A lost instance is dropped and has to register again
    Given a leader that knows two instances
    When the leader drops the second one
    Then the second is no longer registered, and is known only after it has registered
