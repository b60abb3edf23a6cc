Feature: Every caller gets the whole response to its own request

  Scenario: A call goes through two separate daemon processes
    Given a running fleet
      | service   | zone |
      | catalogue | za   |
      | payments  | zb   |
    When the daemon beside catalogue is asked for payments with
      | method  | path                |
      | GET     | /stock?item=d%20e&n |
      | POST    | /deposits           |
      | PUT     | /quotes/1           |
      | PATCH   | /quotes/1           |
      | DELETE  | /quotes/1           |
      | OPTIONS | /quotes             |
    Then each response is the target's own, with verdict ran

  Scenario: Statuses, chunked responses, HEAD and repeated headers arrive unchanged
    Given a running fleet
      | service   | zone |
      | catalogue | za   |
      | payments  | zb   |
    Then statuses 200, 201, 204, 304, 404, 418 and 599 arrive with both X-Two headers
    And a chunked response arrives as "one two three"
    And the response to HEAD arrives without a body
    And a refusal of HEAD arrives without a body, and the next request on its connection is answered

  Scenario: Bad requests are refused as not run, with the reason
    Given a running fleet
      | service   | zone |
      | catalogue | za   |
    Then a body over the limit is refused with 413 and verdict not-run
    And an unknown service is refused with 404 and verdict not-run
    And a deadline that is not a number is refused with 400 and verdict not-run
    And a request line that is not HTTP is refused with 400 and verdict not-run

  Scenario: A late answer reaches nobody but its own caller
    Given a running fleet
      | service   | zone | target arguments                       |
      | payments  | za   | --service-ms 30 --random-service-time  |
      | payments  | zb   | --service-ms 30 --random-service-time  |
    When 400 requests with bodies of their own, half of them with short deadlines, are sent by 8 concurrent callers
    Then every response with status 200 belongs to its request, and over a quarter of the requests get one

  Scenario: A caller that goes away cancels its work, and expired work is refused as not run
    Given a running fleet
      | service   | zone | slots | target arguments |
      | catalogue | za   | 1     | --service-ms 600 |
      | shop      | za   |       |                  |
    When a request occupies the only slot, and the caller of a second one disconnects
    Then the second one never runs
    When a request occupies the only slot, and a second one has a deadline of 200 ms
    Then the second one is refused with verdict not-run, and never runs
