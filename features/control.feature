Feature: One node at a time controls the engines, and their memory is never overcommitted
  Loads, version changes and their faults, with the lease changing hands.

  Scenario: A version change under load, with engine orders lost and late (I1, I2, I3)
    Given a platform
    And an engine "e1" of 24000 MiB
    And an engine "e2" of 12000 MiB
    And the site settings
      | key           | value |
      | order_transit | 2 s   |
    And the models
      | model   | MiB  |
      | results | 8000 |
      | heats   | 6000 |
    And the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 1 engine
    And model "heats" is resident on 1 engine
    When the next engine order to "e1" is lost
    And engine orders to "e2" are late by 0.5 s
    And version "2" of model "results" is applied at "n1"
    And requests for model "results" are sent to "n1, n2" for 2 s
    Then some engine gets version "2" of model "results" and none keeps another
    And every request is answered in full

  Scenario Outline: The lease holder is paused and wakes after its lease lapsed (I1)
    Given a platform
    And an engine "e1" of 12000 MiB
      | option       | value    |
      | checks fence | <checks> |
    And an engine "e2" of 12000 MiB
      | option       | value    |
      | checks fence | <checks> |
    And the site settings
      | key           | value |
      | lease         | 3 s   |
      | order_transit | 2 s   |
    And the models
      | model   | MiB  |
      | results | 5000 |
      | heats   | 6000 |
    And the nodes "n1, n2" in domains "d1, d2"
    And a node holds the lease
    And model "results" is resident on 1 engine
    And model "heats" is resident on 1 engine
    When engine orders to "e1" are late by 1 s
    And engine orders to "e2" are late by 1 s
    And "platform" has the fault "lose_answers" set to <lost>
    And version "2" of model "results" is applied at "n1"
    And an engine order is under way
    And the holder is paused
    And another node takes the lease over
    And the paused holder goes on
    Then some engine gets version "2" of model "results" and none keeps another

    Examples: Engines that check fencing numbers
      | checks | lost |
      | yes    | 0    |
      | yes    | 2    |

    Examples: Engines that ignore fencing numbers
      | checks | lost |
      | no     | 0    |
      | no     | 2    |

  Scenario: The paused holder wakes where engines ignore fencing numbers (I1, I2)
    Given a platform
    And an engine "e1" of 12000 MiB
      | option       | value |
      | checks fence | no    |
    And an engine "e2" of 12000 MiB
      | option       | value |
      | checks fence | no    |
    And the site settings
      | key           | value |
      | lease         | 3 s   |
      | order_transit | 2 s   |
    And the models
      | model   | MiB  |
      | results | 5000 |
      | heats   | 6000 |
    And the nodes "n1, n2" in domains "d1, d2"
    And a node holds the lease
    And model "results" is resident on 1 engine
    And model "heats" is resident on 1 engine
    When engine orders to "e1" are late by 1 s
    And engine orders to "e2" are late by 1 s
    And "platform" has the fault "lose_answers" set to 2
    And version "2" of model "results" is applied at "n1"
    And an engine order is under way
    And the holder is paused
    And another node takes the lease over
    And the paused holder goes on
    And requests for model "results" are sent to "n1, n2" for 2 s
    Then every request is answered in full

  Scenario: A paused holder's order is lost and engines ignore fencing numbers
    Given a platform
    And an engine "e1" of 12000 MiB
      | option       | value |
      | checks fence | no    |
    And an engine "e2" of 12000 MiB
      | option       | value |
      | checks fence | no    |
    And the site settings
      | key           | value |
      | lease         | 3 s   |
      | order_transit | 2 s   |
    And the models
      | model   | MiB  |
      | results | 5000 |
      | heats   | 6000 |
    And the nodes "n1, n2" in domains "d1, d2"
    And a node holds the lease
    And model "results" is resident on 1 engine
    And model "heats" is resident on 1 engine
    When the next engine order to "e1" is lost
    And the next engine order to "e2" is lost
    And version "2" of model "results" is applied at "n1"
    And an engine order is under way
    And the holder is paused
    And another node takes the lease over
    And the paused holder goes on
    Then some engine gets version "2" of model "results" and none keeps another

  Scenario: The weight store is down while models are to be loaded (I1, I2)
    Given a platform
    And a weight store
      | option      | value |
      | loads per s | 4     |
    And an engine "e1" of 24000 MiB that loads from the weight store
    And the models
      | model   | MiB  |
      | results | 8000 |
      | heats   | 6000 |
    And the nodes "n1" in domains "d1"
    And model "results" is resident on 1 engine
    When "store" goes down
    And version "2" of model "results" is applied at "n1"
    And requests for model "results" are sent to "n1" for 1 s
    Then every request is answered in full
    When "store" comes back
    Then some engine gets version "2" of model "results" and none keeps another

  Scenario: The lease holder and an engine are killed (I1, I2)
    Given a platform
    And an engine "e1" of 12000 MiB
    And an engine "e2" of 12000 MiB
    And the site settings
      | key           | value |
      | lease         | 3 s   |
      | order_transit | 2 s   |
    And the models
      | model   | MiB  | copies |
      | results | 5000 | 2      |
    And the nodes "n1, n2, n3" in domains "d1, d2, d1"
    And a node holds the lease
    And model "results" is resident on 2 engines
    When the holder is killed
    And "e1" is killed
    And 4 requests for model "results" are sent to a node that runs
    Then every request is answered in full
    When "e1" is started again
    And another node takes the lease over
    Then "e1" gets a copy of model "results"

  Scenario: The object API is slow while a version changes and the weight store is down for a time (I1, I2)
    Given a platform
    And a weight store
      | option      | value |
      | loads per s | 10    |
    And an engine "e1" of 24000 MiB that loads from the weight store
    And the models
      | model   | MiB  |
      | results | 8000 |
    And the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 1 engine
    When "platform" has the fault "delay_ms" set to 300.0
    And "store" goes down
    And version "2" of model "results" is applied at "n1"
    And requests for model "results" are sent to "n1, n2" for 1 s
    And "store" comes back
    Then some engine gets version "2" of model "results" and none keeps another
    And every request is answered in full
