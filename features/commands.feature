Feature: Commands report clearly what is wrong and what was done

  Scenario: Explaining one request
    Then explain prints a request's lines from several logs in order, and its daemons' state changes

  Scenario: Broken settings and documents are refused with an error that names the place
    Then each of these settings prevents the start with an error that contains the text beside it
      | variable                    | value     | error says                 |
      | COMFREYHITCH_HTTP_PORT      | eighty    | COMFREYHITCH_HTTP_PORT     |
      | COMFREYHITCH_HTTP_PRT       | 8080      | no such setting            |
      | COMFREYHITCH_PEER_PORT      | 8080      | the same                   |
      | COMFREYHITCH_SERVICE        | payments  | COMFREYHITCH_SERVICE_VERSION |
      | COMFREYHITCH_FENCE_AFTER    | 60        | COMFREYHITCH_FENCE_AFTER   |
      | COMFREYHITCH_PLATFORM_URL   | ftp://a   | COMFREYHITCH_PLATFORM_URL  |
      | COMFREYHITCH_PEERS          | nowhere   | COMFREYHITCH_PEERS         |
    And each of these documents is refused with an error that contains the text beside it
      | document                                                                     | error says                      |
      | a: {services: {b: {versoin: v1}}}                                            | a.services.b.versoin            |
      | a: {services: {b: {routes: [{path: x}]}}}                                    | a.services.b.routes.0.path      |
      | a: {zones: {za: {state: gone}}}                                              | a.zones.za.state                |
      | a: [                                                                         | document.yaml:1:                |
      | {a: {zones: {za: {state: in}, za: {state: out}}}}                            | 'za' is a duplicate key         |
      | {a: {zones: {za: {state: in}}}, b: {zones: {za: {state: out}}}}              | belongs to section              |
      | a: {services: {b: {rollout: {to: v2, start: 2026-12-07T08:00:00Z, finish_by: 2026-12-07T09:00:00Z}}}} | a.services.b.version |

  Scenario: Editing and reading back
    Given a running fleet with a platform
      | service   | zone |
      | catalogue | za   |
    When the document below is applied
      """
      shop:
        services:
          catalogue: {version: v1, hosts: [shop.example]}
      """
    Then the command exits with code 0 and prints "written as generation 1"
    When the command status is run with --wait 10
    Then the command exits with code 0 and prints "generation 1, accepted"
    When the command get is run
    Then the command exits with code 0 and prints "shop.example"
    When the document below is applied with --if-generation 7
      """
      shop: {}
      """
    Then the command exits with code 3 and prints "nothing written"
    When the document below is applied
      """
      intruder:
        services:
          catalogue: {}
      """
    And the command status is run with --wait 10
    Then the command exits with code 2 and prints "belongs to section shop"
    When the command members is run
    Then the command exits with code 0 and prints "za alive catalogue v1"
    When the platform goes down
    And the command get is run
    Then the command exits with code 4 and prints "unavailable"
