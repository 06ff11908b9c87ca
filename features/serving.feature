Feature: A site with real nodes serves models, adapters and orders
  The thin path: nodes in two failure domains, engines that load what the nodes ask for, and a
  plain service.

  Background:
    Given a platform
    And a weight store
      | option      | value |
      | loads per s | 20    |
    And an engine "e1" of 24000 MiB that loads from the weight store
    And an engine "e2" of 24000 MiB that loads from the weight store
    And "e2" is in domain "d2"
    And a plain service "booking-1"
    And the models
      | model   | MiB  | copies |
      | results | 8000 | 2      |
      | heats   | 6000 | 1      |
    And the adapters
      | adapter | base    | MiB |
      | club-1  | results | 100 |

  Scenario: Models, adapters and orders are served through nodes in two domains (I2, I3)
    Given the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 2 engines
    And model "heats" is resident on 1 engine
    When 6 requests for model "results" are sent to "n1"
    And 6 streamed requests of 30 tokens for model "heats" are sent to "n2"
    And 2 requests for model "club-1" are sent to "n2"
    And the booking "b-1" is sent to "n1"
    Then every request is answered in full
    And the order is confirmed
    And the order "b-1" ran 1 time

  Scenario: A node killed before its callers got an answer does not stop the other (I2)
    Given the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 2 engines
    When 4 streamed requests of 300 tokens for model "results" are sent to "n1"
    And 4 streamed requests of 100 tokens for model "results" are sent to "n2"
    And "n1" is killed
    And 4 requests for model "results" are sent to "n2"
    Then the last 8 requests are answered in full

  Scenario: A stopped node cuts off no request (I7)
    Given the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 2 engines
    When 6 streamed requests of 200 tokens for model "results" are sent to "n1"
    And the engines have started 6 requests
    Then "n1" stops without cutting off a request
    And every request is answered in full
    When 2 requests for model "results" are sent to "n2"
    Then every request is answered in full
