Feature: An engine under faults
  The engine stand-in behaves as engines do on their bad days: orders get lost or arrive late,
  streams break, requests crash it, and it refuses what does not fit into its memory.

  Scenario: Requests are answered in full while the engine is busy
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    When 12 requests for model "results" are sent to "e1"
    And 12 streamed requests of 30 tokens for model "results" are sent to "e1"
    Then every request is answered in full

  Scenario: A lost engine order leaves no trace and can be sent again
    Given an engine "e1" of 24000 MiB
    When the next engine order to "e1" is lost
    And engine order "o1" loads model "results" version "1" of 8000 MiB on "e1"
    Then the engine order is accepted
    And engine order "o1" is not known to "e1"
    And "e1" uses 0 MiB
    When engine order "o1" loads model "results" version "1" of 8000 MiB on "e1"
    Then engine order "o1" is "done" on "e1"
    And "e1" uses 8000 MiB

  Scenario: An order sent twice runs once
    Given an engine "e1" of 24000 MiB
    When engine order "o1" loads model "results" version "1" of 14000 MiB on "e1"
    And engine order "o1" loads model "results" version "1" of 14000 MiB on "e1"
    Then the engine order is accepted
    And engine order "o1" is "done" on "e1"
    And "e1" uses 14000 MiB

  Scenario: A late order of a former lease holder is refused by its fencing number
    Given an engine "e1" of 24000 MiB
    When engine orders to "e1" are late by 0.3 s
    And engine order "o1" with fencing number 4 loads model "results" of 8000 MiB on "e1"
    Then the engine order is accepted
    When engine orders to "e1" are late by 0 s
    And "e1" is fenced with number 5
    Then engine order "o1" is "refused" on "e1"
    And "e1" uses 0 MiB
    When engine order "o2" with fencing number 4 loads model "results" of 8000 MiB on "e1"
    Then the engine order is refused as stale

  Scenario: A new version is loaded beside the old one, which then leaves
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    When engine order "o1" loads model "results" version "2" of 8000 MiB on "e1"
    Then engine order "o1" is "done" on "e1"
    And "e1" holds "results:1, results:2"
    When 4 streamed requests of 60 tokens for model "results" are sent to "e1"
    And "e1" has started 4 requests
    And engine order "o2" unloads model "results" version "1" from "e1"
    Then engine order "o2" is "done" on "e1"
    And "e1" holds "results:2"
    And every request is answered in full

  Scenario: A broken stream is resumed on another engine
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    And an engine "e2" of 24000 MiB that holds model "results" of 8000 MiB
    When "e1" has the fault "drop_streams_after" set to 7
    And 1 streamed request of 40 tokens for model "results" is sent to "e1"
    Then 1 stream breaks after 7 tokens
    When the broken streams are resumed at "e2"
    Then the last 1 requests are answered in full

  Scenario: A killed engine breaks its streams and another one goes on
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    And an engine "e2" of 24000 MiB that holds model "results" of 8000 MiB
    When 3 streamed requests of 200 tokens for model "results" are sent to "e1"
    And "e1" has started 3 requests
    And "e1" is killed
    And the broken streams are resumed at "e2"
    Then the last 3 requests are answered in full

  Scenario: A crash empties the engine
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.3      |
    When 3 streamed requests of 2000 tokens for model "results" are sent to "e1"
    And "e1" has started 3 requests
    And a request for model "results" that contains "overflow" is sent to "e1"
    Then no request gets an answer
    And "e1" has crashed 1 time
    And "e1" uses 0 MiB

  Scenario: A request that crashes each engine that runs it
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.3      |
    And an engine "e2" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.3      |
    When a request for model "results" that contains "overflow" is sent to "e1"
    And the last request is sent again to "e2"
    Then no request gets an answer
    And "e1" has crashed 1 time
    And "e2" has crashed 1 time

  Scenario: A replaced engine is empty and is loaded anew
    Given an engine "e1" of 24000 MiB
    When engine order "o1" loads model "results" version "1" of 8000 MiB on "e1"
    Then engine order "o1" is "done" on "e1"
    When "e1" is killed
    And "e1" is started again
    Then "e1" uses 0 MiB
    When engine order "o2" loads model "results" version "1" of 8000 MiB on "e1"
    Then engine order "o2" is "done" on "e1"
    When 2 requests for model "results" are sent to "e1"
    Then every request is answered in full

  Scenario: A paused engine goes on where it was
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    When 4 streamed requests of 40 tokens for model "results" are sent to "e1"
    And "e1" is paused
    And "e1" goes on
    Then every request is answered in full

  Scenario: A planned stop finishes what is running
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    When 4 streamed requests of 60 tokens for model "results" are sent to "e1"
    And "e1" has started 4 requests
    Then "e1" stops without cutting off a request
    And every request is answered in full

  Scenario: A model that is not resident is refused as not run
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    When 2 requests for model "heats" are sent to "e1"
    Then 2 requests are refused with "not_resident" and did not run
