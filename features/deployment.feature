Feature: The settings of the scenarios' deployments
  Scenarios that run nodes write their settings from the processes they have started.

  Scenario: The settings of a small deployment are valid
    Given a platform
    And a weight store
    And an engine "e1" of 24000 MiB
    And an engine "e2" of 16000 MiB
      | option       | value |
      | checks fence | no    |
    And "e2" is in domain "d2"
    And a plain service "booking-1"
    And a plain service "booking-2"
    And the models
      | model   | MiB  |
      | results | 8000 |
      | heats   | 6000 |
    And the adapters
      | adapter | base    | MiB |
      | club-1  | results | 100 |
    Then the deployment with a node in domain "d2" passes the check
