Feature: The lifecycle of a request that may run only once, at the ingress

  Scenario: Arrivals, resends, fences, withdrawals, stops and ends of targets in any order
    Then no request runs twice, and none that was reported as not-run has run or runs later

  # Guards against a request that runs after a fence query was told that it never will (issue 23).
  Scenario: A fence query arrives while a request with a key waits for its instance's usual pace
    Then the request is refused as fenced, and never reaches the target
