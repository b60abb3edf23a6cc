Feature: A configuration the system has accepted is in force everywhere within seconds and never reverts

  Scenario: Merging facts
    Then daemons that received the same facts in any order store the same, and no version decreases
    And a member's newest incarnation wins, and the worse status within one incarnation
    And no datagram, record or section, however invalid, raises an exception when decoded

  Scenario: An edit is in force everywhere, and an invalid one changes nothing
    Given a running fleet with a platform
      | service   | zone | count |
      | catalogue | za   | 3     |
      | catalogue | zb   | 3     |
    When the section shop gets a valid edit
    Then it is in force at every daemon within 5 seconds
    When the section shop gets an invalid edit
    Then its status names the location of the error, and the valid edit stays in force
    When another section claims the same service
    Then its status names the section that owns the service

  Scenario: The platform is down, slow, and loses responses
    Given a running fleet with a platform
      | service   | zone | count |
      | catalogue | za   | 2     |
      | catalogue | zb   | 2     |
    When the platform loses the next 3 responses and the section shop gets a valid edit
    Then it is in force at every daemon within 10 seconds
    When the platform goes down and a daemon is replaced by one that knows only a peer
    Then the new daemon has the section in force within 5 seconds
    And a request through the new daemon still runs
    When the platform is up but takes 1 second for each call, and the section shop gets a valid edit
    Then it is in force at every daemon within 10 seconds

  Scenario: Few daemons wait on the platform
    Given a running fleet with a platform
      | service   | zone | count |
      | catalogue | za   | 5     |
      | catalogue | zb   | 5     |
    Then after 15 seconds no more than 4 watches are open, and calls to the platform stay below 4 a second

  Scenario: Two operators edit the same section
    Given a running fleet with a platform
      | service   | zone | count |
      | catalogue | za   | 1     |
    When two operators edit the section shop from the same generation
    Then one edit is written, and the other operator is shown that edit
    When the response to a write is lost after the write took effect
    Then the writer is told that the write took effect

  Scenario: Bad frames and datagrams are refused and change nothing
    Given a running fleet
      | service   | zone | count |
      | catalogue | za   | 2     |
    When a daemon gets invalid datagrams, frames and facts
    Then it still answers probes and calls, and its members are unchanged
