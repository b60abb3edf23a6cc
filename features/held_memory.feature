Feature: Requests and responses of all callers share the memory of their daemon

  # Guards against a crowd that keeps the memory, and against ordinary callers that give way.
  Scenario: Who gives way to others
    Then for any callers those give way whose bytes have waited longest, and none whose bytes move
    And a limit without stalled callers refuses those that come next, and small requests never
