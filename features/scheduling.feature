Feature: A target under more load than it can take serves what costs callers most first

  Scenario: Steady overload of the build farm and the tender platform
    Then at 1.5 times the load of a target, urgent kinds are served within their objectives and no kind is starved
    And nested calls are served although the target has more load than it can take

  Scenario: Bursts of load
    Then in bursts of 2.3 times the load, no rank is served less than a less urgent one
    And without overload, almost all requests are served within their objectives

  Scenario: Accounts of different size
    Then a large account takes no capacity from small ones that use less than their share

  Scenario: The order of waiting requests
    Then each criterion of the order decides if all criteria before it are equal
    And the request that costs least is dropped at the bound of the queue

  Scenario: Waiting requests are resolved at once
    Then a schedule never runs more than the limit, resolves no request twice, and holds none too long
    And waiting requests are refused in time while a target hangs, and others run when it is back
    And a displaced request is refused when the arrival that displaces it comes
    And no request is refused because its work is unknown or an estimate is old
    And calls that end without being sent to the target do not make the expected wait shorter
    And a call that can't be served in time is refused by the call handler as not run
    And arrivals, resends, fences and ends in any order run no scheduled request twice

  Scenario: Nested calls
    Then routes that a target calls while it runs requests are recognized, and no others
    And no route looks nested after a sudden rise of the load
    And evidence of the first seconds does not count, and a changed route is learned again

  Scenario: Daemons and targets under overload
    Given a fleet on the platform with overload control, whose targets can take 80 requests a second
    When requests of two priorities arrive 120 times a second for 4 seconds
    Then no refused request has run, and each was refused before most of its time had passed
    And the more urgent kind was served at least as often as the other
    And the metrics count refusals and waits by rank
