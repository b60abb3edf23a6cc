Feature: A target that has just started never gets more work than it can handle

  Scenario: The limit and the queue keep their bounds
    Then a limit is reset to 1, grows by 1 above the recovery limit, and never exceeds the slots
    And admission never runs more requests than the limit, and resolves no waiting request twice

  Scenario: A busy instance adds to the time of every response
    Then a simulated cold target on a busy instance never runs more than 2 times its capacity
    And a warm target gets all its slots, whether its service time is constant or random

  Scenario: All targets start cold at once while callers outnumber their slots
    Given a running fleet
      | service   | zone | count | target arguments |
      | shopfront | za   | 1     |                  |
      | catalogue | za   | 3     | --service-ms 10 --warm-up-seconds 3 --cold-slots 3 --faults '{"dies_in_overload": true}' |
    When 60 callers send requests to catalogue for 4 seconds
    Then no target of catalogue has died or counted an overload, which begins above 2 times its capacity
    And requests ran, and every other one got verdict not-run

  Scenario: A target turns cold again without warning
    Given a running fleet
      | service   | zone | count | target arguments |
      | shopfront | za   | 1     |                  |
      | catalogue | za   | 1     | --service-ms 5 --warm-up-seconds 0 --cold-slots 2 |
    When 30 callers send requests to catalogue for 2 seconds
    And the target process of catalogue is killed and restarted, cold for 5 seconds
    And 30 callers send requests to catalogue for 2 seconds
    Then no target of catalogue has died or counted an overload, which begins above 2 times its capacity

  Scenario: One tenant cannot take a busy target from another, and the lowest class is shed first
    Given a running fleet
      | service   | zone | count | target arguments |
      | shopfront | za   | 1     |                  |
      | catalogue | za   | 1     | --service-ms 20  |
    When a noisy tenant sends requests with 40 callers, and a quiet one with 1 for 3 seconds
    Then at least 9 in 10 requests of the quiet tenant ran
