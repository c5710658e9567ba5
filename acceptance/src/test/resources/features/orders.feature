Feature: A non-idempotent operation runs at most once

  Scenario: the instance that runs it is killed, and the caller resends elsewhere
    Given 3 instances
    And the service takes 1500 ms for an operation
    When order "k-1" is sent through instance 1
    And the service has started order "k-1"
    And instance 1 is killed
    Then order "k-1", sent 3 times through instance 2, may have run or shows its answer each time
    And order "k-1", sent 3 times through instance 3, may have run or shows its answer each time
    And the service has run order "k-1" 1 time

  Scenario: the caller resends elsewhere while the first run goes on
    Given 3 instances
    And the service takes 1500 ms for an operation
    When order "k-9" is sent through instance 1
    And the service has started order "k-9"
    And order "k-9" is sent through instance 2
    And order "k-9" is sent through instance 3
    Then all senders got the same answer
    And the service has run order "k-9" 1 time
