Feature: The load spent on measuring our targets stays within the budget we set

  Scenario: Budgets hold for any times between probes
    Then a probe budget is never overdrawn, whatever the times between probes

  Scenario: A target's health endpoint is read within its budget, and daemons probe within theirs
    Given settings target_probe_rate 2 and probe_rate 3
    And a running fleet
      | service   | zone | count |
      | catalogue | za   | 3     |
      | shopfront | zb   | 1     |
    When the daemon beside shopfront sends about 100 requests to catalogue, and 4 seconds pass
    Then no target was probed more often than a budget of 2 a second allows
    And no daemon sent more probes than a budget of 3 a second allows
    And the admin port reports that the daemon beside shopfront has sent probes
