Feature: Every caller gets the whole answer of the target to its own request, and no other bytes

  Scenario: Responses cut into any pieces
    Then a response is read the same however its bytes are cut, and one that is cut short never

  Scenario: Bytes after a response
    Then bytes after the end belong to no request, and the connection is not used again

  Scenario: Responses that are not the target's own
    Then a response for another request, an encoded one, or a success of unknown origin is a failure

  Scenario: Proof that a request did not run
    Then only the target's own word or another's address proves that a request did not run

  Scenario: A target that answers before it has read a long body
    Then its answer is returned, nothing more of the body is sent, and the connection is closed

  Scenario: Connections that the target closes, resets or leaves with stray bytes
    Then a kept connection is used again only while it is open and silent
