Feature: Callers' requests are limited in size and time

  Scenario: Heads of requests
    Given a server for callers that allows heads of 200 bytes within 0.3 s
    Then a head of 200 bytes is served, whether it is sent whole, in parts or pipelined
    And a larger head gets 431, whether it has one long line or many, and its request is not served
    And a head that takes longer gets 408 or a closed connection, and a slow body is not cut off
    And a connection used within the idle timeout is kept, and one that is idle for longer is closed

  Scenario: Requests sent before the first is answered
    Given a server for callers whose first answers take longest
    Then requests sent together or one by one are answered in their order
    And requests behind an answer that closes the connection are not served

  # Guards against a part of a body that is run as a request of its own (request smuggling; review,
  # UNASKED).
  Scenario: Requests whose end is not clear
    Given a server for callers that allows heads of 200 bytes within 0.3 s
    Then a request with contradicting lengths or codings gets 400, and one with an unknown coding 501
    And no part of their bodies is served, and each connection is closed
    And requests with one length, the same length twice, or chunks are served with their bodies

  # Guards against heads within the configuration's limit that get 414 or 400 (review, DENIED).
  Scenario: Heads as large as the configuration allows
    Given a server for callers that allows heads of 16384 bytes
    Then a head of 16384 bytes is served with one long line, one long header or as many as fit
    And one of more bytes gets 431, and one that is cut off is not served
