Feature: Orders through nodes run at most once, and callers are told the truth
  A booking has a key. Whatever fails, the services run each key at most once, and a caller who is
  told that an order did not run can rely on it.

  Background:
    Given a platform
    And an engine "e1" of 24000 MiB
    And a plain service "booking-1"
      | option    | value |
      | service s | 0.4   |
    And a plain service "booking-2"
      | option    | value |
      | service s | 0.4   |
    And the models
      | model   | MiB  |
      | results | 8000 |

  Scenario: The same order at two nodes at once runs once (I5)
    Given the nodes "n1, n2" in domains "d1, d2"
    When the booking "b-1" is sent to "n1"
    And the booking "b-1" is sent to "n2"
    And the booking "b-1" is sent to "n1"
    Then 3 orders of the same key are confirmed
    And the order "b-1" ran 1 time

  Scenario: A node is killed while its order runs and the caller asks another node (I4, I5)
    Given the nodes "n1, n2" in domains "d1, d2"
    When "booking-1" has the fault "delay_ms" set to 2000.0
    And "booking-2" has the fault "delay_ms" set to 2000.0
    And the booking "b-1" is sent to "n1"
    And a service has started the order "b-1"
    And "n1" is killed
    And the booking "b-1" is sent to "n2"
    Then the order's outcome is unknown
    And the order "b-1" ran 1 time

  Scenario: The object API loses answers while orders are recorded (I4, I5)
    Given the nodes "n1, n2" in domains "d1, d2"
    When "platform" has the fault "lose_answers" set to 4
    And 12 bookings are sent to "n1, n2" in turn
    Then every order is confirmed
    And every order ran once

  Scenario: The service loses the answer of an order (I4, I5)
    Given the nodes "n1, n2" in domains "d1, d2"
    When the next answer of "booking-1" is lost
    And the next answer of "booking-2" is lost
    And the booking "b-1" is sent to "n1"
    Then the order's outcome is unknown
    When the booking "b-1" is sent to "n2"
    Then the order's outcome is unknown
    And the order "b-1" ran 1 time

  Scenario: The object API is down and then back (I2, I4, I5)
    Given the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 1 engine
    When "platform" goes down
    And 4 requests for model "results" are sent to "n1"
    And 4 streamed requests of 20 tokens for model "results" are sent to "n2"
    And the booking "b-1" is sent to "n1"
    Then the order is refused and did not run
    And every request is answered in full
    And the order "b-1" ran 0 times
    When "platform" comes back
    And the booking "b-1" is sent to "n2" until it is recorded
    Then the order is confirmed
    And the order "b-1" ran 1 time
