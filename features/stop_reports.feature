Feature: The log of a daemon tells how its stop went, from each signal to each lost request

  # Guards against signals and plans of which no log tells, so that a lost request can't be traced
  # (issue 51).
  Scenario: A second signal arrives, and the own target leaves, while a request outlasts the stop
    Given settings drain_timeout 2 and stop_linger 1
    And setting send_timeout 0.5
    And a running fleet
      | service   | zone | count | target arguments  |
      | catalogue | za   | 1     | --service-ms 8000 |
      | stock     | za   | 1     | --service-ms 10   |
      | shop      | za   | 1     |                   |
    When a GET to catalogue and the first line of another request are in progress at the daemon of shop
    And that daemon gets SIGHUP and SIGTERM
    And requests for stock are sent through it until its listener closes
    And it gets SIGTERM again, its target leaves, and the daemon of catalogue is asked to stop
    Then its metrics count SIGTERM once with effect stop and once with none, and SIGHUP once with none
    And its log tells of three signals, the second SIGTERM without effect
    And its log tells the plan, the connections by phase and the requests at the start of the stop
    And its log tells when its target left
    And its log tells where the GET was, for how long, and that the daemon there drains
    And its log tells how many requests were answered, refused, interrupted and cut

  # Guards against a stop whose processor time goes into its log.
  Scenario: More requests outlast a stop than are logged
    Given settings drain_timeout 0.5 and stop_linger 0.3
    And a running fleet
      | service   | zone | count | slots | target arguments  |
      | catalogue | za   | 1     | 60    | --service-ms 8000 |
      | shop      | za   | 1     | 10    |                   |
    When 25 GETs run at catalogue through shop, whose daemon is asked to stop
    Then its log has lines for 20 of them, and a line for the other 5

  # Guards against hedges that no log line shows (issue 51).
  Scenario: A hedged request outlasts a stop
    Given settings drain_timeout 0.5 and stop_linger 0.3
    And a running fleet
      | service   | zone | count | target arguments  |
      | catalogue | za   | 2     | --service-ms 8000 |
      | shop      | za   | 1     |                   |
    When 1 GETs run at catalogue through shop, whose daemon is asked to stop
    Then its log tells that the GET was at both targets, at the second one as a hedge

  Scenario: A hedge is answered first
    Given a running fleet
      | service   | zone | count | target arguments |
      | catalogue | za   | 2     | --service-ms 20  |
      | shop      | za   | 1     |                  |
    When one target of catalogue takes 100 times as long, and GETs are sent until one is hedged
    Then the log tells that the hedge ran and that the first attempt was answered elsewhere
