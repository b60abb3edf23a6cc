Feature: Callers' requests are limited in size and time

  Scenario: Heads of requests
    Given a server for callers that allows heads of 200 bytes within 0.3 s
    Then a head of up to 200 bytes is served, sent whole, in parts or pipelined
    And a larger head gets 431, whether in one line or many, and runs nothing
    And a head that takes longer gets 408 or a closed connection, and a slow body is not cut off
    And an idle connection is closed after the idle timeout, and one that is used before it is kept
