Feature: No request is left without an end when daemons stop under load

  Scenario: Callers that wait for each answer
    When daemons are stopped 16 times under the load of kept, new, pieces and half_close callers
    Then requests waited for targets, and others were sent during stops
    And no request was left without an end

  Scenario: Callers that send several requests before the first is answered
    When daemons are stopped 8 times under the load of pipelined callers
    Then requests waited for targets, and others were sent during stops
    And no request was left without an end
