Feature: Chats are served during shutdowns, store outages and poison requests

  Scenario: an instance shuts down gracefully under streaming load
    Given 3 instances
    And the engines are slowed down by a factor of 25
    When 20 streamed responses have started through instance 1
    And instance 1 receives SIGTERM
    And chats are sent through instance 1 until its process has exited
    Then the process has exited with status 0
    And every started stream is complete
    And every later chat was answered, rejected as not run, or got no response
    And the engines have started exactly as many chats as clients got complete responses

  Scenario: an instance is replaced during a store outage
    Given 3 instances
    And the instances have been listed for longer than the maximum lag of the live list
    When the store becomes unavailable
    Then 10 chats through instance 1 are answered
    And 10 chats through instance 2 are answered
    And 10 chats through instance 3 are answered
    And order "k-3" through instance 1 is rejected as not run
    When instance 3 is killed
    And instance 3 is restarted
    Then 10 chats through instance 3 are answered
    And order "k-3" through instance 2 is rejected as not run
    And order "k-3" through instance 3 is rejected as not run
    And the service has run order "k-3" 0 times

  Scenario: a poison request crashes every engine that runs it
    Given 3 instances
    And every engine that runs "poison" crashes and is down for 3000 ms
    When chat "poison" is sent 20 times, round-robin through all instances
    Then at most 2 engines have crashed
    And 3 chats through instance 1 are answered
