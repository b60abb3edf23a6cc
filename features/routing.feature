Feature: Requests are directed by host and path, and split by weight

  Scenario: Routes
    Then the longest prefix of the host wins, for any set of routes

  Scenario: Splits
    Then each service of a split gets its share to within one request, for any weights

  Scenario: Requests that match no route
    Then a request is refused as not run before a configuration is known, and as an unknown path after
