Feature: The object API and the host list under faults
  Every durable write goes through the object API. It can be down, lose an answer after the write
  took effect, or be out of reach of one failure domain.

  Scenario: The answer of a write is lost
    Given a platform
    When the next answer of "platform" is lost
    And "rev 1" is written to the new object "config/uy-sur"
    Then the caller cannot know whether the write took effect
    And object "config/uy-sur" holds "rev 1"

  Scenario: A lost answer is resolved by reading back
    Given a platform
    When the next answer of "platform" is lost
    And "rev 1" is written to the new object "config/uy-sur" and a lost answer is resolved
    Then the write succeeds
    And object "config/uy-sur" holds "rev 1"

  Scenario: The object API is down
    Given a platform
    When "platform" goes down
    And "rev 1" is written to the new object "config/uy-sur"
    Then the write is refused and did not take effect
    When "platform" comes back
    Then object "config/uy-sur" does not exist

  Scenario: One failure domain is cut off from the platform
    Given a platform
    When "rev 1" is written to the new object "config/uy-sur"
    And domain "d2" is cut off from the platform
    And a caller in domain "d2" reads the object "config/uy-sur"
    Then the read fails
    When a caller in domain "d1" reads the object "config/uy-sur"
    Then the read returns "rev 1"
    When no domain is cut off from the platform
    And a caller in domain "d2" reads the object "config/uy-sur"
    Then the read returns "rev 1"

  Scenario: The host list lags behind the hosts
    Given a platform
      | option     | value |
      | host lag s | 1     |
    When host "n1" of kind "node" in domain "d1" is registered as live
    Then the host list is empty
    And the host list comes to show "n1" as live
    When host "n1" of kind "node" in domain "d1" is registered as leaving
    Then the host list comes to show "n1" as leaving
