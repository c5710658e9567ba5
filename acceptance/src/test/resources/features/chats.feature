Feature: Chats go on through stops, outages and requests that kill engines

  Scenario: a planned stop under streaming load
    Given 3 instances
    And the engines take 25 times as long
    When 20 streams have begun through instance 1
    And instance 1 is told to stop
    And chats are sent through instance 1 until it has ended
    Then the process has exited with 0
    And every stream that had begun is whole
    And every later chat was answered whole, refused as not run, or found no listener
    And the engines have started as many chats as callers got whole

  Scenario: the store is down and an instance is replaced meanwhile
    Given 3 instances
    And the instances have been listed for longer than the list may lag
    When the store goes down
    Then 10 chats through instance 1 are answered
    And 10 chats through instance 2 are answered
    And 10 chats through instance 3 are answered
    And order "k-3" through instance 1 is refused as not run
    When instance 3 is killed
    And a new process takes the place of instance 3
    Then 10 chats through instance 3 are answered
    And order "k-3" through instance 2 is refused as not run
    And order "k-3" through instance 3 is refused as not run
    And the service has run order "k-3" 0 times

  Scenario: a request that kills every engine that runs it
    Given 3 instances
    And every engine that runs "poison" dies for 3000 ms
    When a chat "poison" is sent 20 times through all instances in turn
    Then at most 2 engines were lost
    And 3 chats through instance 1 are answered
