Feature: Retries stay within one budget for all daemons, without any message between them

  Scenario: Shared budget
    Then in any window all daemons together retry no more than the ratio and twice the extra retries allow

  Scenario: What counts as an attempt
    Then an undelivered attempt takes no retry token, and delivered attempts never exceed the route's limit
