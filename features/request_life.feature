Feature: The life of a request that may run only once, at the gate

  Scenario: Arrivals, resends, fences, withdrawals, stops and ends of targets in any order
    Then no request runs twice, and none that was told not-run has run or runs later
