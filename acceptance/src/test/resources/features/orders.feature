Feature: A non-idempotent operation runs at most once

  Scenario: the instance that runs it is killed and the client retries through other instances
    Given 3 instances
    And the service takes 1500 ms per operation
    When order "k-1" is sent through instance 1
    And the service has started order "k-1"
    And instance 1 is killed
    Then order "k-1", sent 3 times through instance 2, may have run or is answered each time
    And order "k-1", sent 3 times through instance 3, may have run or is answered each time
    And the service has run order "k-1" 1 time

  Scenario: the client retries through other instances while the first run is in progress
    Given 3 instances
    And the service takes 1500 ms per operation
    When order "k-9" is sent through instance 1
    And the service has started order "k-9"
    And order "k-9" is sent through instance 2
    And order "k-9" is sent through instance 3
    Then all requests got the same response
    And the service has run order "k-9" 1 time
