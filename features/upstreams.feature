Feature: Upstreams that die, break streams, crash and leave
  Callers get whole answers of their own requests whatever happens to the engines behind the nodes.

  Scenario: An engine is killed in the middle of streams (I2, I3)
    Given a platform
    And an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    And an engine "e2" of 24000 MiB that holds model "results" of 8000 MiB
    And the models
      | model   | MiB  | copies |
      | results | 8000 | 2      |
    And the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 2 engines
    When 4 streamed requests of 150 tokens for model "results" are sent to "n1"
    And 4 streamed requests of 150 tokens for model "results" are sent to "n2"
    And 2 requests for model "results" are sent to "n2"
    And the engines have started 10 requests
    And "e1" is killed
    Then every request is answered in full

  Scenario: Streams break at both engines (I3)
    Given a platform
    And an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    And an engine "e2" of 24000 MiB that holds model "results" of 8000 MiB
    And the models
      | model   | MiB  | copies |
      | results | 8000 | 2      |
    And the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 2 engines
    When "e1" has the fault "drop_streams_after" set to 7
    And "e2" has the fault "drop_streams_after" set to 11
    And 4 streamed requests of 60 tokens for model "results" are sent to "n1"
    And 4 requests for model "results" are sent to "n2"
    Then every request is answered in full

  Scenario: A request that crashes engines is sent again and again through all nodes (I10)
    Given a platform
    And an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.3      |
    And an engine "e2" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.3      |
    And an engine "e3" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.3      |
    And an engine "e4" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.3      |
    And the models
      | model   | MiB  | copies |
      | results | 8000 | 4      |
    And the nodes "n1, n2, n3" in domains "d1, d2, d1"
    And model "results" is resident on 4 engines
    When 6 streamed requests of 100 tokens for model "results" are sent to "n1"
    And 6 streamed requests of 100 tokens for model "results" are sent to "n2"
    And a request for model "results" that contains "overflow" is sent to "n1"
    And the last request is sent 3 times at once to "n1, n2, n3"
    And the last request is sent 2 times at once to "n1, n2, n3"
    Then at most 2 engines have crashed
    And every request without a crash marker is answered in full

  Scenario: An engine leaves and then is gone (I6, I7)
    Given a platform
    And an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    And an engine "e2" of 24000 MiB that holds model "results" of 8000 MiB
    And the models
      | model   | MiB  | copies |
      | results | 8000 | 2      |
    And the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 2 engines
    When 4 streamed requests of 200 tokens for model "results" are sent to "n1"
    And the engines have started 4 requests
    And "e1" starts to leave
    And requests for model "results" are sent to "n1, n2" for 4.5 s
    Then "e1" stops without cutting off a request
    When 4 requests for model "results" are sent to "n1"
    Then every request is answered in full

  Scenario: The only engine that holds a model freezes (I2)
    Given a platform
    And an engine "e1" of 12000 MiB that holds model "results" of 8000 MiB
    And the models
      | model   | MiB  |
      | results | 8000 |
    And an engine "e2" of 24000 MiB
    And the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 1 engine
    When "e1" has the fault "freeze" set to true
    And 3 requests for model "results" are sent to "n1"
    And 3 requests for model "results" are sent to "n2"
    Then every request is answered in full

  Scenario: The only engine that holds a model leaves (I2, I6)
    Given a platform
    And an engine "e1" of 12000 MiB that holds model "results" of 8000 MiB
    And the models
      | model   | MiB  |
      | results | 8000 |
    And an engine "e2" of 24000 MiB
    And the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 1 engine
    When "e1" starts to leave
    And requests for model "results" are sent to "n1, n2" for 4.5 s
    Then every request is answered in full

  Scenario: An adapter that nobody has asked for is called while the object API is down (I2)
    Given a platform
    And an engine "e1" of 24000 MiB
    And the models
      | model   | MiB  |
      | results | 8000 |
    And the adapters
      | adapter | base    | MiB |
      | club    | results | 200 |
    And the nodes "n1, n2" in domains "d1, d2"
    And model "results" is resident on 1 engine
    And model "club" is resident on 1 engine
    When "platform" goes down
    And 2 requests for model "club" are sent to "n1"
    And 2 requests for model "club" are sent to "n2"
    Then every request is answered in full
