Feature: A caller that does not read its response is disconnected visibly

  Scenario: Progress of a write
    Then a write goes on while the other end takes bytes from the buffer, and ends after the time without progress

  Scenario: Callers that stall, read slowly or disconnect
    Given a server for callers with responses of 8 MB
    Then a caller that stops reading is disconnected, and never takes what it got for a whole response
    And a caller that reads slowly gets its whole response
    And a caller that disconnects early ends its connection, and nothing is held for it
