Feature: Every caller gets the target's whole response to its own request, and no other bytes

  Scenario: Responses cut into any pieces
    Then a response is read the same however its bytes are fragmented, and a truncated one is refused

  Scenario: Bytes after a response
    Then bytes after the end are assigned to no request, and the connection is not reused

  Scenario: Responses that are not the target's own
    Then a response for another request, an encoded one, or a success of unknown origin is a failure

  Scenario: Proof that a request did not run
    Then only the target's header or another instance's id proves that a request did not run

  Scenario: A target that responds before it has read a long body
    Then its response is returned, the rest of the body is not sent, and the connection is closed

  Scenario: Connections that the target closes, resets or leaves with stray bytes
    Then an idle connection is reused only while it is open and has no unread bytes
