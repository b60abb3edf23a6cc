Feature: A request goes to the target that is expected to answer it first

  Scenario: Targets of different speed
    Then with a quarter of the targets slow, at 0.9 of capacity, 95 in 100 requests are answered within their objective, at fewer than 1.05 hops for each, and by utilization at over 1.1
    And the reported wait, the pace and requests sent since the report each delay the expected completion

  Scenario: Availability zones
    Then at 0.7 of capacity, fewer than 5 in 100 requests leave their zone, and by utilization over 15 in 100
    And a zone that gets most requests uses the others, so that at least 95 in 100 requests are answered within their objective
    And the time left for the objective bounds the wait in the own zone
    And a wait in the own zone never makes a request miss its objective, also beside faster targets that are avoided

  Scenario: Targets that flap
    Then the time without requests grows with each flap, is not ended by one response, and decays
    And two targets in 12 that fail every other second get fewer than 3 in 1000 requests while they fail

  Scenario: A daemon that restarts beside a target that flaps
    Then how often the target flapped is kept, and its load report is not

  Scenario: Targets that warm up
    Then two cold targets in 12 get at least 3 in 4 requests they can serve, at fewer than 1.2 hops for each request

  Scenario: Many candidates
    Then a choice looks at no more candidates among 1000 than among 20
    And an excluded target is never chosen, and one that is not excluded always is, if there is one

  Scenario: The rule is chosen by the settings
    Then overload control by cost chooses by expected completion, and by class as before
