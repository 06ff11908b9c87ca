Feature: Loads from the weight store
  Loads take as long as the weight store takes; it serves a few loads at full speed.

  Scenario: A model is loaded from the weight store
    Given a weight store
      | option      | value |
      | loads per s | 10    |
    And an engine "e1" of 24000 MiB that loads from the weight store
    When engine order "o1" loads model "results" version "1" of 8000 MiB on "e1"
    Then engine order "o1" is "done" on "e1"
    When 3 requests for model "results" are sent to "e1"
    Then every request is answered in full

  Scenario: The weight store goes down during a load
    Given a weight store
      | option      | value |
      | loads per s | 0.01  |
    And an engine "e1" of 24000 MiB that loads from the weight store
    When engine order "o1" loads model "results" version "1" of 8000 MiB on "e1"
    Then "e1" uses 8000 MiB
    When "store" goes down
    Then engine order "o1" is "failed" on "e1"
    And "e1" uses 0 MiB
