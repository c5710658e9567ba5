Feature: A change of the rules is in force whole, once and everywhere

  Scenario: a frozen instance wakes after a version was withdrawn
    Given 3 instances
    And the instances have been listed for longer than the list may lag
    When chats for both versions come through all instances without end
    And instance 1 is frozen
    And 10 chats for the old version wait at instance 1
    And the old version's withdrawal through instance 2 is accepted
    And instance 1 wakes
    Then all waiting chats are refused and none has been started since acceptance
    And instance 1 runs the new version again
    And 50 more chats for the old version came and none has been started since acceptance

  Scenario: a version is withdrawn under load
    Given 3 instances
    When chats for both versions come through all instances without end
    And the old version's withdrawal through instance 2 is accepted
    Then 200 more chats for the old version came and none has been started since acceptance

  Scenario: the replies to the writes of a change are lost
    Given 3 instances
    When the replies to the next 2 writes of the store are lost and instance 1 gets a change
    Then one change is accepted and the others are told of a conflict
    And the store holds the accepted change whole as number 2, and the history one entry for each before
    And all instances have number 2 in force

  Scenario: two operators change the rules at once
    Given 3 instances
    When two operators change the rules at once through instances 1 and 2
    Then one change is accepted and the others are told of a conflict
    And the store holds the accepted change whole as number 2, and the history one entry for each before
    And all instances have number 2 in force
