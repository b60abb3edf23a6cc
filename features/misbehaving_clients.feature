Feature: Clients outside the limits end no daemon, and others are still answered

  Background:
    Given three daemons whose machines have 100 MB of memory and 600 descriptors

  # Guards against a daemon that runs out of memory or descriptors (issue 45).
  Scenario Outline: <count> clients <action>
    When <count> clients <action> at one daemon
    Then each daemon lives within its memory and descriptors, and answers an ordinary request

    Examples:
      | count | action                                   |
      | 20    | send large chunks without end            |
      | 20    | send small chunks without end            |
      | 20    | send all but one byte of a body          |
      | 20    | send the last bytes of a body one by one |
      | 20    | end a body just before its deadline      |
      | 20    | announce a body far over the limit       |
      | 20    | send chunks far over the limit           |
      | 20    | read long answers slowly                 |
      | 800   | send half a head                         |

  Scenario: A crowd that comes again and again
    When 20 clients read long answers slowly at one daemon in 4 rounds
    Then each daemon lives within its memory and descriptors, and answers an ordinary request

  Scenario: A crowd at every daemon
    When 20 clients send large chunks without end at each daemon
    Then each daemon lives within its memory and descriptors, and answers an ordinary request

  Scenario: All kinds of clients at once
    When 8 clients of each kind come to one daemon
    Then each daemon lives within its memory and descriptors, and answers an ordinary request

  # Guards against the same at the ports that only the platform and other daemons use.
  Scenario Outline: <count> clients <action> at the <port> port
    When <count> clients <action> at the <port> port of one daemon
    Then each daemon lives within its memory and descriptors, and answers an ordinary request

    Examples:
      | count | action                    | port      |
      | 800   | send half a head          | control   |
      | 800   | send half a head          | readiness |
      | 800   | send half a head          | metrics   |
      | 800   | send the begin of a frame | peer      |
      | 20    | send most of a frame      | peer      |

  # Guards against a stop that ends ordinary requests unanswered beside such clients.
  Scenario: A planned stop beside a crowd
    When a daemon with 20 clients that send large chunks without end is stopped
    Then an ordinary request that was sent before is answered, and the daemon exits within its grace

  # Guards against limits of the daemon's own that refuse what the configuration allows.
  Scenario Outline: One <kind> of <megabytes> MB
    Given the machines have 200 MB of memory
    When one <kind> of <megabytes> MB is sent in calm
    Then it is served whole, and each daemon lives within its memory and descriptors

    Examples:
      | kind              | megabytes |
      | body              | 4.5       |
      | body              | 16        |
      | body              | 60        |
      | body without size | 60        |
      | answer            | 16        |
      | answer            | 60        |
