Feature: Large responses share the link with small ones

  Scenario: A link that downloads fill
    Then small responses beside downloads that fill a link of 8.5 Mbit/s arrive within tens of milliseconds
    And a large response does not wait for all of a larger one
    And each large response gets a piece every 3 seconds, however many there are
    And at least 85 in 100 of the bandwidth are used while large responses wait
    And large responses go on while small ones alone fill the link

  Scenario: Downloads beyond the bandwidth of a link
    Then of downloads at 2.2 times the load, those that run are answered before their deadline, and the link stays in use
    And of downloads at 2.2 times the load, as many are answered within their objective as the link can send
    And a request that misses its objective anyway runs only while the backlog is short
    And nested calls and responses of small or unknown size are never refused for the backlog, and a refused one has not run
    And a load report names the backlog only if responses are paced
    And sizes are measured for a bounded number of routes

  Scenario: Any sequence of large frames
    Then each frame is sent completely, and the backlog is that of the frames that wait

  Scenario: Bytes held by a daemon
    Then requests that need bytes beyond the limit are refused, small ones are not, and all bytes are given back
    And at the ingress a request beyond the limit is refused as not run
    And a body counts from its declared length on, before it is read

  Scenario: Large responses between daemons
    Given a peer server with a link of 8.5 Mbit/s
    Then a small answer during large ones arrives within 250 ms, and all answers are complete
    And facts are sent at once beside a backlog of large answers
    And an answer that arrives in parts is read whole, one that stalls is a failure, and a load report is as old as its first part
    And requests sent while answers arrive are counted, also if the answers overlap
    And a daemon that stops waits for the large answers that it sends
    And a peer that disconnects during a large answer leaves no backlog

  Scenario: Bandwidth and memory in the settings
    Then the bandwidth of the platform is used only where requests are scheduled by cost, and its memory everywhere

  Scenario: Daemons with a link of 8.5 Mbit/s
    Given daemons that schedule by cost, with a link of 8.5 Mbit/s and 1000 MB of memory
    And a running fleet
      | service  | zone | count |
      | shop     | za   | 1     |
      | payments | za   | 1     |
    When 8 requests with responses of 300 KB are sent through shop
    Then each gets its whole response, in no less time than the link takes, and small ones in between are fast
    And the daemon of payments showed a backlog, and no bytes are held afterwards

  Scenario: Daemons with little memory
    Given daemons that schedule by cost, with a link of 8.5 Mbit/s and 5 MB of memory
    And a running fleet
      | service  | zone | count |
      | shop     | za   | 1     |
      | payments | za   | 1     |
    When 8 requests with responses of 300 KB are sent through shop
    Then some get their whole response, the others are refused as not run, and none ran that was refused
    And no bytes are held afterwards
