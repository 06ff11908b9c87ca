Feature: The checks after each scenario can fail
  Each scenario breaks one invariant on purpose, by a caller that goes round the nodes or by a
  stand-in that is asked for the wrong thing. It passes only if the check names the invariant.

  Scenario: An order that a service runs twice is noticed (I5)
    Given a plain service "booking-1"
    When the booking "b-1" is sent to "booking-1"
    And the booking "b-1" is sent to "booking-1"
    Then the checks report "I5: order b-1 ran 2 times"

  Scenario: An order that ran although its caller was told that it did not is noticed (I4)
    Given a plain service "booking-1"
    And a service "liar-1" that runs orders and says that it did not
    When the booking "b-1" is sent to "liar-1"
    Then the checks report "I4: order b-1 ran although"

  Scenario: An engine that is asked for more than its memory is noticed (I1)
    Given an engine "e1" of 8000 MiB
    When engine order "o1" loads model "results" version "1" of 6000 MiB on "e1"
    And engine order "o2" loads model "heats" version "1" of 6000 MiB on "e1"
    Then the checks report "I1: e1 refused 1 overcommits"

  Scenario: A request that comes to a leaving engine too late is noticed (I6)
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    When "e1" has the fault "leaving" set to true
    And requests for model "results" are sent to "e1" for 3.3 s
    Then the checks report "I6: e1 got"

  Scenario: An answer that is not whole, or of another request, is noticed (I3)
    Given a platform
    And an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    When "e1" is taken for a node
    And "e1" has the fault "drop_streams_after" set to 7
    And 1 streamed request of 40 tokens for model "results" is sent to "e1"
    Then the checks report "I3: request"

  Scenario: An answer of another request is noticed (I3)
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    When 2 requests for model "results" are sent to "e1" and their answers are crossed
    Then the checks report "tokens of another request"

  Scenario: A request that ran although its caller was told that it did not is noticed (I4)
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
    When 1 request for model "results" is sent to "e1" and its answer says that it did not run
    Then the checks report "I4: request"

  Scenario: A request that crashes three upstreams is noticed (I10)
    Given an engine "e1" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.1      |
    And an engine "e2" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.1      |
    And an engine "e3" of 24000 MiB that holds model "results" of 8000 MiB
      | option       | value    |
      | crash marker | overflow |
      | restart s    | 0.1      |
    When a request for model "results" that contains "overflow" is sent to "e1"
    And the last request is sent again to "e2"
    And the last request is sent again to "e3"
    And "e1" is taken for a node
    And "e2" is taken for a node
    And "e3" is taken for a node
    Then the checks report "I10:"

  Scenario: A node that goes back to an older revision is noticed (I8)
    When node "n1" is seen with the revisions "1, 2, 1"
    Then the checks report "I8: n1 went back from revision 2 to 1"

  Scenario: An accepted change that another one replaced in its revision is noticed (I8)
    When change "a" is accepted as revision 2
    And change "b" is accepted as revision 2
    Then the checks report "I8: revision 2 is both a and b"

  Scenario: An accepted change that a node does not get is noticed (I8)
    When change "a" is accepted as revision 3
    And node "n1" ends with revision 2
    Then the checks report "I8: n1 ends with revision 2, and 3 was accepted"
