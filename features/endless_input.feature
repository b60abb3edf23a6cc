Feature: Bytes without end stop nothing but the exchange that they belong to

  # Guards against a stall of a daemon that leaves no trace in its log and metrics.
  Scenario: A daemon that does not run its greenlets
    Then a stall is logged and counted with its processor time and the longest read
    And a burst of stalls is counted whole, and logged in part
