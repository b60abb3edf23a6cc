Feature: Every caller gets the target's whole response to its own request, and no other bytes

  Scenario: Responses cut into any pieces
    Then a response is read the same however its bytes are fragmented, and a truncated one is never complete

  Scenario: Bytes after a response
    Then bytes after the end do not change the response, and the connection is not reused unless they are blank lines

  Scenario: Responses that are not the target's own
    Then a response for another request, an encoded one, one without the target's headers, or an unproven 503 or 429 is a failure that may have run

  Scenario: Proof that a request did not run
    Then the target's header or the id of an unexpected instance proves that a request did not run

  Scenario: A target that responds before it has read a long body
    Then its response is returned, the rest of the body is not sent, and the connection is closed

  Scenario: Connections that the target closes, resets or leaves with stray bytes
    Then an idle connection is reused only while it is open and has no unread bytes

  # Guards against a refusal of another request that makes a request count as not run.
  Scenario: A target that repeats an earlier refusal
    Then an earlier refusal that is written once more proves nothing about the next request

  Scenario: A target that stops in the middle of the head of its response
    Then a target that ends in the middle of its head, by a close or a reset, gave no response

  # Guards against a running request that is reported as not run, and sent again, because a field
  # is missing or unreadable in bytes that belong to no request (review, case 1).
  Scenario: Responses that lack what a proof needs
    Then a response proves that a request did not run only if it names this request and says so
    And a refusal without an id that follows an earlier response proves nothing about the next request
    And an answer between daemons proves that a request did not run only if it says so whole

  # Guards against a daemon that serves nothing else until a request's deadline, because it reads
  # bytes that do not end (review, case 4).
  Scenario: Responses without end
    Then each is given up long before the deadline, as one that may have run, and is counted
    And other greenlets run while such bytes arrive faster than they are read
    And other greenlets run while many such responses arrive at once
    And the end of a connection whose other end goes on sending is not awaited for longer than told

  # Guards against an answer whose status is no status: as an interim response it would be passed
  # over until the deadline, as a final one it would reach the caller (issue 45, MIXED).
  Scenario: Statuses that HTTP does not allow
    Then for any status line, a final status of 200 to 599 is taken from targets, peers and the store
    And other interim statuses than 101 are passed over, and all others fail at once
