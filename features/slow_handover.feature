Feature: A daemon that stops answers its callers however long its departure takes

  # Guards against requests that get no answer since claims are handed over before (issue 51, LOST).
  Scenario: Registrars do not answer while a daemon hands over its claims
    Given settings drain_timeout 2.4 and stop_linger 2.7
    And setting send_timeout 0.6
    And a running fleet
      | service   | zone | count | target arguments  |
      | catalogue | za   | 1     | --service-ms 9000 |
      | shop      | za   | 1     |                   |
      | stock     | za   | 4     | --service-ms 5    |
    And 40 requests with keys have run at stock, sent through shop
    When a GET is at work at catalogue, shop is asked to stop, and 3 stock daemons stand still from 4.8 s on
    Then the GET is answered within 5.5 s of the signal, and shop has ended within 6 s
