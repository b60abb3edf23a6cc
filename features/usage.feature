Feature: One daemon at a time reports how many requests of each account ran

  Scenario: Counts of many daemons
    Then counts that arrive in any order, in part, repeatedly or late give the same sums
    And a receiver that acknowledges differences ends with the counts of the sender
    And counts of old windows, of windows far ahead and of too many accounts are not kept

  Scenario: A wall clock that jumps
    Then the estimated time of day follows no jump of the wall clock that is shorter than half a minute

  Scenario: Candidates without faults
    Then every window is reported once and in time, by one holder, with one write for each window
    And the reports contain all requests that the candidates counted

  Scenario: Candidates under pauses, kills, cuts, lost responses, clock steps and a restored store
    Then no window has two counts, no token two holders, no token falls and no holder alternates

  Scenario: A lease
    Then a report is sent only within the lease, which counts from before the write was sent

  Scenario: A holder that is cut off, suspended or slow at any moment
    Then another one takes over, and nothing forbidden is sent when it is back

  Scenario: A store that comes back from a copy while candidates restart
    Then tokens still rise, and no window has two counts

  Scenario: A holder that is killed at any moment
    Then each window from before and after is reported in time with the same counts

  Scenario: Requests at the ingress
    Then a request counts for its account when it is sent, and no more if the target proves that it did not run

  Scenario: The platform's settings
    Then usage reports are on only if the settings of the platform name an address and the duty

  Scenario: Daemons whose holder is killed, suspended and cut off from the platform
    Given a running fleet that reports usage
      | service | zone |
      | shop    | za   |
      | shop    | zb   |
      | shop    | zc   |
    When two accounts send requests through all daemons
    Then each window is reported in time
    When the platform loses responses, refuses and is down, and the store loses a response
    And the holder is suspended for 6 seconds and resumed
    And the holder is killed
    Then each window is reported in time
    And the platform saw nothing forbidden, and the counts of the requests
    And a status names the holder, the token and the last window
