Feature: A target's state is known from its heartbeats and its health path

  Scenario: Late and repeated heartbeats
    Then heartbeats in any order leave the newest incarnation with its highest sequence number

  Scenario: A target that leaves
    Then a target that has announced its departure is not ready again in that incarnation

  Scenario: A daemon that restarts beside a target
    Then a healthy response or a heartbeat makes the target ready, and a healthy response ends suspicion unless another incarnation sent it

  Scenario: Cold targets
    Then a cold target gets no more requests in any second than its rate and a burst of two

  # Guards against a missing or unreadable field that ends suspicion and gives a target its usual
  # rate.
  Scenario: Health responses that lack a field
    Then a health response without an instance id, or with a cold time that can't be read, does not give a target its usual rate

  Scenario: The configuration is known before the service of the target
    Then a cold target is limited to its rate whether its service or the configuration is known first

  # Guards against a stop that fails at its first step and cuts all requests (issue 23).
  Scenario: A target leaves before its first heartbeat reaches a daemon that has restarted
    Given a daemon that knows its target from the health path alone
    When the target's departure arrives
    Then the daemon's record is valid, says that it drains, and can be published again
