Feature: Requests and responses of all callers share the memory of their daemon

  # Guards against a crowd that keeps the memory, and against ordinary callers that give way.
  Scenario: Who gives way to others
    Then for any callers those give way whose bytes have waited longest, and none whose bytes move
    And a limit without stalled callers refuses those that come next, and small requests never

  # Guards against a crowd that takes all connections, and against requests that are cut for others.
  Scenario: Which connections are closed for others
    Then for any connections the one that was quiet for longest is closed, and none with a request
    And the limits leave descriptors for the connections of the daemon itself
