Feature: Bytes without end stop nothing but the exchange that they belong to

  # Guards against a daemon that serves nothing else while it reads or discards a request that does
  # not end (review, case 4).
  Scenario: Requests without end
    Given a server that reads 10000 bytes of a body
    Then requests whose bodies do not end are cut off, while other requests are answered at once
    And so are many of them at once
    And each is counted once, and one that ends within the bounds is not
    And one that pauses after its bounds is cut off as well

  # Guards against a heartbeat or an announcement that keeps a daemon from doing anything else.
  Scenario: Heartbeats without end
    Given a control server of a daemon
    Then heartbeats that do not end are refused and cut off, while readiness is answered at once

  # Guards against a store that keeps a daemon from doing anything else, or a call from ending.
  Scenario: Responses of the store without end
    Then each call of the store ends as one that failed, while other greenlets run
    And a response that arrives slowly is read to its end, and one that stops arriving is given up
    And a call whose connection ends unanswered is sent again only if it may be repeated

  # Guards against a caller that waits beyond its deadline for an answer that arrives byte by byte.
  Scenario: Answers of a peer without end
    Then an answer that arrives slowly is given up shortly after the deadline of its call
    And many messages of a peer at once let other greenlets run

  # Guards against a part of a body that is run as a message of its own (UNASKED).
  Scenario: Bodies that follow their message
    Then a call whose body is not read gets one answer, and its connection ends
    And a call whose body arrives late or in part is refused as not run, and its connection ends
    And large bodies are part of the messages to and from daemons that do not take them otherwise

  # Guards against a stall of a daemon that leaves no trace in its log and metrics.
  Scenario: A daemon that does not run its greenlets
    Then a stall is logged and counted with its processor time and the longest read
    And a burst of stalls is counted whole, and logged in part
