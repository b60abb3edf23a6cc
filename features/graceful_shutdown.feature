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

  # Guards against requests that end without an answer when the drain timeout is over (issue 23).
  Scenario: Requests wait and run when the drain timeout of a stop ends
    Given settings drain_timeout 1 and stop_linger 0.3
    And a running fleet
      | service   | zone | count | slots | target arguments  |
      | catalogue | za   | 1     | 1     | --service-ms 8000 |
      | shop      | za   | 1     | 1     |                   |
    When a GET runs at catalogue and a GET and a POST wait there, all through shop, whose daemon is asked to stop
    Then the GET that runs and the GET that waits get 504 with verdict may-have-run, and the POST gets 503 with verdict not-run
    And the daemon of shop has exited with code 0 within 4 seconds

  # Guards against requests that are dropped while a stop closes connections (issue 23).
  Scenario: Requests arrive around the end of reading
    Given settings drain_timeout 3 and stop_linger 0.5
    And a running fleet
      | service   | zone | count | target arguments |
      | catalogue | za   | 1     | --service-ms 10  |
      | shop      | za   | 1     |                  |
    When the daemon of shop is asked to stop
    And requests reach it in pieces, on kept and on new connections, until it is gone
    Then each request of which a part was read was answered ran or not-run

  Scenario: Connections wait to be accepted when the listener closes
    Then a request on a connection that is not accepted yet is served

  # Guards against responses that are lost when their connection is reset (issue 23).
  Scenario: A connection is closed after a response while its caller still sends
    Then the caller receives the whole response and the end of the stream, for a served and for a rejected request

  # Guards against requests that were read together with an earlier one and dropped (issue 23).
  Scenario: A caller sends several requests at once while its daemon stops
    Given settings drain_timeout 3 and stop_linger 1
    And a running fleet
      | service   | zone | count | target arguments |
      | catalogue | za   | 1     | --service-ms 20  |
      | shop      | za   | 1     |                  |
    When the daemon of shop is asked to stop
    And 5 requests are sent to it at once on one connection
    Then all 5 are answered, and the daemon of shop has exited with code 0 within 6 seconds

  # Guards against requests that are cut because a step of the stop fails (issue 23).
  Scenario: Telling peers of the stop fails
    Then a request in progress is answered although the daemon's record can't be published

  # Guards against peers that send requests to a daemon that stops, because a change of its target
  # took back that it drains.
  Scenario: A target leaves and comes back while its daemon stops
    When targets leave, come back and leave again in any order while their daemons stop
    Then each record that a daemon publishes says that it drains, and none follows its departure

  # Guards against answers of targets that are replaced by 504 at the end of the drain timeout, or cut
  # on their way to the caller, although the grace period goes on (issue 37, LOST).
  Scenario: Large answers are on their way when the drain timeout of a stop ends
    Given daemons that schedule by cost, with a link of 8.5 Mbit/s and 1000 MB of memory
    And settings drain_timeout 0.8 and stop_linger 0.4
    And setting send_timeout 6
    And a running fleet
      | service  | zone | count |
      | shop     | za   | 1     |
      | payments | za   | 1     |
    When 8 requests with responses of 300 KB are in flight through shop, whose daemon is asked to stop
    Then each of them got its whole response, some after the drain timeout
    And the daemon of shop has exited with code 0 within 8 seconds

  # Guards against requests that run although their answers can't be sent before the stop ends, and
  # get 504 (issue 37, LOST).
  Scenario: More large answers are asked for during a stop than the link can send
    Given daemons that schedule by cost, with a link of 8.5 Mbit/s and 1000 MB of memory
    And settings drain_timeout 1.5 and stop_linger 1
    And setting send_timeout 0.5
    And a running fleet
      | service  | zone | count |
      | shop     | za   | 1     |
      | payments | za   | 1     |
    When 24 requests with responses of 300 KB are sent through shop while its daemon stops
    Then some get their whole response, and the others are refused as not run

  Scenario: A caller still reads its response when the drain timeout of a stop ends
    Then a caller that reads slowly gets its whole response, and one that does not read ends in time

  # Guards against a request that is sent to a target after its caller has left (issue 37).
  Scenario: Callers leave before their daemon reads their requests
    Given a running fleet
      | service   | zone | count | target arguments |
      | catalogue | za   | 1     | --service-ms 400 |
      | shop      | za   | 1     |                  |
    When the daemon of shop is suspended while 5 requests are sent to it, whose callers leave
    Then shop has sent none of them to catalogue

  # Guards against requests that get 504 at the end of a stop though another target could answer in
  # time (issue 51, LOST).
  Scenario: A target is slow while the daemon of its callers stops
    Given settings drain_timeout 1.7 and stop_linger 0.5
    And a running fleet
      | service   | zone | count | target arguments |
      | catalogue | za   | 2     | --service-ms 600 |
      | shop      | za   | 1     |                  |
    And catalogue has answered 3 requests of shop, sent one after the other
    When one target of catalogue is slow, and 2 GETs are at work as shop is asked to stop
    Then each of these GETs is answered by a target
    And the daemon of shop has exited with code 0 within 4 seconds

  # Guards against requests that are taken during a stop though they usually outlast it (issue 51,
  # LOST).
  Scenario Outline: A request is sent to a daemon that stops
    Given settings drain_timeout 0.5 and stop_linger 1.5
    And a running fleet
      | service   | zone | count | target arguments  |
      | catalogue | za   | 2     | --service-ms 1000 |
      | shop      | za   | 1     |                   |
    And catalogue has answered 3 requests of shop, sent one after the other
    When shop is asked to stop, and <seconds> s later a GET is sent to it
    Then the GET is <outcome>

    Examples:
      | seconds | outcome                    |
      | 0.2     | answered by a target       |
      | 1.4     | refused at once as not run |
