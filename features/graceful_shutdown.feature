Feature: A planned stop is a graceful shutdown: it cuts no request in flight

  Scenario: A request arrives just as the daemon stops reading
    Then a request that has arrived but is not read yet is served, and an idle connection is closed

  Scenario: A daemon stops while requests run through both of its sides
    Given a running fleet
      | service   | zone | count | target arguments |
      | catalogue | za   | 3     | --service-ms 400 |
    When 12 requests are in flight and the first daemon of catalogue is asked to stop
    Then each of them got verdict ran or not-run, some ran, and the daemon has exited with code 0 within 10 seconds

  Scenario: All daemons of a service are replaced one after the other
    Given a running fleet
      | service   | zone | count | target arguments |
      | catalogue | za   | 3     | --service-ms 10  |
      | shop      | za   | 1     |                  |
    And steady traffic to catalogue through shop
    When each daemon of catalogue is stopped and started again in turn
    Then every request of the steady traffic ran
