Feature: The lifecycle of a request that may run only once, at the ingress

  Scenario: Arrivals, resends, fences, withdrawals, stops and ends of targets in any order
    Then no request runs twice, and none that was reported as not-run has run or runs later

  # Guards against a request that runs after a fence query was told that it never will (issue 23).
  Scenario: A fence query arrives while a request with a key waits for its instance's usual pace
    Then the request is refused as fenced, and never reaches the target

  # Guards against a request that crashes the only target of its service for good (review, BUDGET).
  Scenario: A request that crashes the only target of its service
    Given two daemons that report the crashes of their targets to each other
    When 4 copies of a request are lost in 2 crashes of the target of daemon 1
    Then no daemon refuses the request as quarantined
    When 1 copies of a request are lost in 1 crashes of the target of daemon 1
    Then both daemons refuse the request as quarantined

  Scenario: A request that crashes two targets
    Given two daemons that report the crashes of their targets to each other
    When 1 copies of a request are lost in 1 crashes of the target of daemon 1
    Then no daemon refuses the request as quarantined
    When 1 copies of a request are lost in 1 crashes of the target of daemon 2
    Then both daemons refuse the request as quarantined
