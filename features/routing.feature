Feature: Requests are directed by host and path, and split by weight

  Scenario: Routes
    Then the longest prefix of the host wins, for any set of routes

  Scenario: Splits
    Then each service of a split gets its share to within two requests, for any weights

  Scenario: Requests that match no route
    Then a request is refused with 503 before a configuration is known, and with 404 and as not run on an unknown path; a route's timeout shortens its deadline
