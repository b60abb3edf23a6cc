Feature: Requests avoid an instance that is slow at the moment

  Scenario: Readings of the pace
    Then a request runs only on a fresh reading of the usual pace, and waits no longer than allowed

  Scenario: Requests during slow periods
    Then slow periods affect few requests that wait for the usual pace, but a quarter of the others
