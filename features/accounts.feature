Feature: Requests are authenticated by the keys of client accounts

  # Guards against a configuration in which a key says nothing about its account, and against keys
  # in error messages, which are logged and sent to peers.
  Scenario: Entries of a configuration
    Then accounts are decoded, and an error names the place of an invalid entry but never a key
    And an empty list of accounts is in force, and a list that is null is refused

  # Guards against requests that reach a target without a key, with the key of somebody else or
  # with a name that their caller chose, while accounts and keys change: 76 accounts of which a few
  # send most requests.
  Scenario: A shop's accounts whose keys change under load
    Then each of 4,000 requests is served as the account that holds its key in the version in force, and any other one gets 401
    And the account's priority goes before that of its route, for the traffic class and the rank

  # Guards against a second value or another spelling of a header that a target reads differently.
  Scenario: Forms of the headers
    Then only one well-formed key in Authorization is accepted, and no spelling of the two headers reaches a target
    And any name of an account is its own in the target's header, and quoted in the metrics

  # Guards against answers that change where no accounts are configured, or nothing is known yet.
  Scenario: Requests that need no key
    Then without accounts headers are forwarded as the caller sent them, and the tenant is the default one
    And before a configuration is known a request gets 503, and one without a route 404, with and without a key
    And a call on a public route is told apart from those of all accounts, whatever their names

  # Guards against an older version that brings a removed key back.
  Scenario: Older versions of the configuration
    Then a key that a version removes stays refused when an older version arrives, and no log line contains a key

  Scenario: Keys on running daemons
    Given a fleet on the platform
      | service   | zone | target arguments |
      | catalogue | za   |                  |
      | catalogue | zb   |                  |
    When a configuration with accounts comes into force
    Then a request with a key reaches its target with the account's name, without the key and the caller's own name
    And a request without a key and one with an unknown key get 401 and never run
    And a request on a public route runs without a name, with and without a key
    When callers keep their connections open and a later configuration takes a key away
    Then requests with it get 401 on these connections within 2.5 seconds, and with the other key still run
    When an older configuration with the key is written and a daemon restarts while the store is down
    Then that daemon never accepts the key, and serves the other one once its peers have told it
    And the keys stand in no log, metric or status of a daemon
