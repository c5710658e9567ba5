Feature: A rule change takes effect completely, once and on all instances

  Scenario: a suspended instance resumes after a version was withdrawn
    Given 3 instances
    And the instances have been listed for longer than the maximum lag of the live list
    When chats for both versions are sent continuously through all instances
    And instance 1 is suspended
    And 10 chats for the old version are sent to suspended instance 1
    And the withdrawal of the old version through instance 2 is accepted
    And instance 1 is resumed
    Then all pending chats are rejected and none has been started since the change was accepted
    And instance 1 serves the new version again
    And 50 more chats for the old version are sent and none has been started since the change was accepted

  Scenario: a version is withdrawn under load
    Given 3 instances
    When chats for both versions are sent continuously through all instances
    And the withdrawal of the old version through instance 2 is accepted
    Then 200 more chats for the old version are sent and none has been started since the change was accepted

  Scenario: the store's responses to the writes of a change are lost
    Given 3 instances
    When the store's responses to the next 2 writes are lost and a change is submitted through instance 1
    Then one change is accepted and the others are rejected with a conflict
    And the store holds the complete accepted change as number 2 and one history entry for each earlier number
    And number 2 is in force on all instances

  Scenario: two operators change the rules concurrently
    Given 3 instances
    When two operators change the rules concurrently through instances 1 and 2
    Then one change is accepted and the others are rejected with a conflict
    And the store holds the complete accepted change as number 2 and one history entry for each earlier number
    And number 2 is in force on all instances
