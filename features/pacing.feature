Feature: Requests keep away from an instance that is slow just now

  Scenario: Any readings
    Then a request runs only on a fresh reading of the usual pace, and waits no longer than it may

  Scenario: A load of slow moments
    Then replayed slow moments delay few requests, where a blind gate delays a quarter of them
