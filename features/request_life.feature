Feature: The lifecycle of a request that may run only once, at the ingress

  Scenario: Arrivals, resends, fences, withdrawals, stops and ends of targets in any order
    Then no request runs twice, and none that was reported as not-run has run or runs later
