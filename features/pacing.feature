Feature: Requests avoid an instance that is slow at the moment

  Scenario: Readings of the pace
    Then a request runs only if a fresh reading shows the usual pace, and waits no longer than allowed

  Scenario: Requests during slow periods
    Then slow periods affect fewer than 3 in 100 requests that wait for the usual pace, but over 20 in 100 of the others
