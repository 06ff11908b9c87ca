Feature: Orders at a plain service
  A booking or a print order runs each time it reaches a service, so it must reach one only once.

  Scenario: An order is confirmed
    Given a plain service "booking"
    When the booking "b-1" is sent to "booking"
    Then the order is confirmed
    And the order "b-1" ran 1 time

  Scenario: An order runs although its answer is lost
    Given a plain service "printing"
    When the next answer of "printing" is lost
    And the print order "p-1" is sent to "printing"
    Then the order gets no answer
    And the order "p-1" ran 1 time

  Scenario: A refused order may be sent to another service
    Given a plain service "booking-1"
    And a plain service "booking-2"
    When "booking-1" has the fault "refuse" set to true
    And the booking "b-1" is sent to "booking-1"
    Then the order is refused and did not run
    When the booking "b-1" is sent to "booking-2"
    Then the order is confirmed
    And the order "b-1" ran 1 time
