Feature: Accepted configurations come into force everywhere and stay
  Changes go through any node. An accepted one reaches every node within 8 s and is never undone.

  Background:
    Given a platform
    And an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    And a plain service "booking-1"
    And the models
      | model   | MiB  |
      | results | 8000 |

  Scenario: Two operators race and the object API loses an answer (I8)
    Given the nodes "n1, n2, n3" in domains "d1, d2, d2"
    When two operators apply changes at "n1" and "n2" at the same time
    Then one change is accepted and the other gets the difference
    And the last accepted change is in force at every node within 8 s
    When the next answer of "platform" is lost
    And a change is applied at "n3"
    Then the change is accepted
    And the last accepted change is in force at every node within 8 s

  Scenario: A node starts while the object API is down (I2, I8)
    Given the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 1 engine
    When a change is applied at "n1"
    Then the change is accepted
    And the last accepted change is in force at every node within 8 s
    When "platform" goes down
    And a change is applied at "n2"
    Then the change is refused and not in force
    When the node "n3" in domain "d1" starts
    Then the last accepted change is in force at every node within 8 s
    When the node "n3" knows 1 copy of model "results"
    And 2 requests for model "results" are sent to "n3"
    Then every request is answered in full

  Scenario: A failure domain is cut off from the platform (I2, I4, I8)
    Given the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 1 engine
    When domain "d2" is cut off from the platform
    And 2 requests for model "results" are sent to "n2"
    And the booking "b-1" is sent to "n2"
    Then every request is answered in full
    And the order is refused as not run, or its outcome is unknown, or it is confirmed
    When a change is applied at "n1"
    Then the change is accepted
    And the last accepted change is in force at every node within 8 s
    When the booking "b-2" is sent to "n1"
    Then the order is refused as not run, or its outcome is unknown, or it is confirmed
    When no domain is cut off from the platform
    And the booking "b-3" is sent to "n2" until it is recorded
    Then the order is confirmed
