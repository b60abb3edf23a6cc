Feature: An availability zone we have taken out gets no new work after a few seconds

  Scenario: A zone is taken out and brought back
    Given a running fleet with a platform
      | service   | zone | count | target arguments |
      | catalogue | za   | 1     | --service-ms 5   |
      | catalogue | zb   | 1     | --service-ms 5   |
      | catalogue | zc   | 1     | --service-ms 5   |
    And steady traffic to catalogue
    When the section zones says that zb is out
    Then zone zb gets no new work after 5 seconds
    When the platform goes down and a daemon of za restarts
    Then zone zb gets no new work after 5 seconds
    When the platform comes back and the section zones says that zb is in
    Then zone zb gets new work within 5 seconds
    And every request of the steady traffic ran

  Scenario: A daemon suspended since before the zone was taken out
    Given a running fleet with a platform
      | service   | zone | count | target arguments |
      | catalogue | za   | 1     | --service-ms 5   |
      | catalogue | zb   | 1     | --service-ms 5   |
    When the daemon of zb is suspended, the zone taken out, and the daemon resumed after 4 seconds
    Then from 1 second later on, no request through the daemon of zb runs in zb

  Scenario: A whole zone is lost without warning
    Given a running fleet
      | service   | zone | count | target arguments |
      | catalogue | za   | 2     | --service-ms 5   |
      | catalogue | zb   | 2     | --service-ms 5   |
      | catalogue | zc   | 2     | --service-ms 5   |
      | shop      | za   | 1     |                  |
    And steady traffic to catalogue through shop
    When every daemon and target of zb is killed
    Then after 5 seconds every request of the steady traffic runs
    And every request of the steady traffic got verdict ran or not-run
