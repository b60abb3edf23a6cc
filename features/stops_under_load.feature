Feature: No request is left without an end when daemons stop under load

  Scenario: What counts as a request without an end
    Then with a grace period of 6 s and a process that ended 5.1 s after SIGTERM, these are told apart
      | kind       | sent | ended | status | run at | work | limit | list            | reason                             |
      | kept       | 1.0  | 1.1   | 200    | 1.0    | 0.1  | 8     | none            | answered                           |
      | kept       | 1.0  | 5.1   |        | 4.0    | 3.0  | 8     | excused_at_work | sent early, at work at the end     |
      | kept       | 3.1  | 5.1   |        | 4.0    | 3.0  | 8     | unended         | sent late                          |
      | kept       | 1.0  | 5.1   |        | 4.0    | 0.9  | 8     | unended         | work ended before the last sixth   |
      | kept       | 1.0  | 5.1   |        | 5.2    | 3.0  | 8     | unended         | reached a target after its end     |
      | kept       | 1.0  | 5.1   |        |        | 3.0  | 8     | unended         | waited for a target                |
      | kept       | 1.0  | 5.1   |        |        | 3.0  | 4     | excused_by_time | its deadline was reached           |
      | kept       | 3.0  | 3.19  |        |        | 0.1  | 8     | crossed         | never read                         |
      | kept       | 3.0  | 3.21  |        |        | 0.1  | 8     | unended         | too late for a crossing            |
      | kept       | 3.0  | 3.1   |        | 3.0    | 0.1  | 8     | unended         | reached a target                   |
      | kept       | -9.0 | -8.0  |        | -8.9   | 3.0  | 8     | unended         | cut while nothing was planned      |
      | half_close | 1.0  | 5.1   |        | 1.1    | 0.1  | 8     | half_closed     | may count as a caller that left    |
      | kept       |      | 3.1   |        |        | 0.1  | 8     | unsent          | not sent whole                     |
      | kept       | 1.0  | 4.0   | 502    | 1.1    | 5.0  | 8     | replaced        | answered for a target at work      |
      | kept       | 1.0  | 2.0   |        | 1.1    | 5.0  | 8     | unended         | cut long before the last sixth     |
      | kept       | 1.0  | 5.1   | 504    | 4.0    | 3.0  | 8     | replaced_at_work | answered so at the end            |
      | kept       | 3.1  | 5.1   | 504    | 4.0    | 3.0  | 8     | replaced        | sent late, answered so at the end  |
    And with a grace period of 6 s and a process that got SIGTERM again after 3.2 s and ended 5.1 s after the first, these are told apart
      | kind       | sent | ended | status | run at | work | limit | list                    | reason                              |
      | kept       | 1.0  | 5.1   |        | 4.0    | 3.0  | 8     | excused_by_first_signal | the last one excuses from 8.2 on    |
      | kept       | 1.0  | 5.1   | 504    | 4.0    | 3.0  | 8     | excused_by_first_signal | the same with an answer of its own  |
      | kept       | 1.0  | 5.1   |        | 4.0    | 6.0  | 8     | excused_by_first_signal | its target would have worked longer |
      | kept       | 3.1  | 5.1   |        | 4.0    | 3.0  | 8     | unended                 | sent late for the first one         |
      | kept       | 1.0  | 5.1   |        | 4.0    | 0.9  | 8     | unended                 | work ended before the last sixth    |
      | kept       | 1.0  | 5.1   |        |        | 3.0  | 8     | unended                 | waited for a target                 |
      | kept       | 1.0  | 4.0   | 502    | 1.1    | 5.0  | 8     | replaced                | answered for a target at work       |
      | kept       | 1.0  | 5.1   | 200    | 4.0    | 1.0  | 8     | none                    | answered                            |
    And with a grace period of 6 s and a process that got SIGTERM again after 0.1 s and ended 5.2 s after the first, these are told apart
      | kind       | sent | ended | status | run at | work | limit | list                    | reason                              |
      | kept       | 3.05 | 5.2   |        | 4.0    | 3.0  | 8     | excused_at_work         | sent early for the last one         |
      | kept       | 1.0  | 5.05  |        | 4.0    | 3.0  | 8     | excused_by_first_signal | before the last sixth of the last   |
      | kept       | 3.05 | 5.05  |        | 4.0    | 3.0  | 8     | unended                 | neither excuses it whole            |

  Scenario: Callers that wait for each answer
    When daemons are stopped 16 times under the load of kept, new, pieces and half_close callers
    Then requests waited for targets, and others were sent during stops
    And no request was left without an end

  Scenario: Callers that send several requests before the first is answered
    When daemons are stopped 8 times under the load of pipelined callers
    Then requests waited for targets, and others were sent during stops
    And no request was left without an end

  Scenario: Signals in series to one process, and stops that overlap
    When daemons are stopped 8 times by series of signals within 6 s under the load of kept, new, pieces and half_close callers
    Then processes got several signals, and each ended by itself within the grace period of its first one
    And requests waited for targets, and others were sent during stops
    And no request was left without an end
