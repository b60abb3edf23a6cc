Feature: A target in need gets no more than it says it takes, and one that leaves nothing

  # Guards against a target that is sent more than the limit it has named (issue 26).
  Scenario: Limits as decisions
    Then no sequence of requests gets more than a limit allows in any 4 s, however often it is named
    And the last request of a limit is kept for the highest class, and the limit ends when not named
    And a limit that is no decimal number is not taken for one

  Scenario: A target names a limit, and leaves
    Given a fleet on the platform
      | service   | zone | target arguments |
      | catalogue | za   |                  |
      | catalogue | za   |                  |
      | payments  | za   |                  |
    When one of two targets names a limit of 4 requests a second, and far more come
    Then it gets no more than it takes, the other gets the rest, and no request is refused
    When its daemon is killed and started again while the limit holds
    Then it still gets no more than it takes
    When it names no limit any more
    Then it gets its share again within 3 seconds
    When it says in its responses that it leaves, while its heartbeats say that it is ready
    Then it gets no request from then on, also when its daemon is killed and started again
