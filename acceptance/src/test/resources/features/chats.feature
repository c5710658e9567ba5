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

  Scenario: a request that kills every engine that runs it
    Given 3 instances
    And every engine that runs "poison" dies for 3000 ms
    When a chat "poison" is sent 20 times through all instances in turn
    Then at most 2 engines were lost
    And 3 chats through instance 1 are answered
