Feature: Signals may come at any moment, and several in series

  # Guards against a process that is ended by the news that its settings have changed, because it
  # handles signals only after its imports (review, "Seen, and left out").
  Scenario Outline: SIGHUP arrives again and again while a daemon starts
    When a daemon <kind> starts, and gets SIGHUP every 10 ms from its first tenth of a second on
    Then it is still running when it serves

    Examples:
      | kind                         |
      | on the platform              |
      | with a clock of its own      |
      | with settings in environment |

  # Guards against exit codes of a process that was killed, and against a start that goes on for
  # seconds although a stop was asked for.
  Scenario Outline: SIGTERM or SIGINT arrives while a daemon loads its code
    When a daemon <kind> starts, and gets <signal> after its first tenth of a second
    Then it exits with code 0 within 1 second, and has neither served nor registered

    Examples:
      | kind                         | signal  |
      | on the platform              | SIGTERM |
      | on the platform              | SIGINT  |
      | with settings in environment | SIGTERM |

  # Guards against settings that a process never takes over, because they changed between its first
  # reading of the file and its first look for changes.
  Scenario Outline: The settings change while a daemon starts
    When a daemon has read its settings with a grace period of 8 s, which becomes 1 s before it serves, <notice>
    Then it stops within 2 seconds

    Examples:
      | notice          |
      | without SIGHUP  |
      | and SIGHUP says |

  # Guards against a watch of the file that ends at the first content that it can't read.
  Scenario: The settings file is found half written, and complete later
    When a daemon serves with a grace period of 8 s, and its file becomes unreadable text, and then says 1 s
    Then it stops within 2 seconds

  # Guards against a stop that takes another plan, or ends early, because of later signals.
  Scenario: Signals arrive again and again during a stop, and the settings change
    Given a fleet on the platform
      | service   | zone | target arguments |
      | catalogue | za   |                  |
      | payments  | za   |                  |
    When a daemon gets SIGTERM, SIGINT and SIGHUP every 5 ms until it is gone, while its grace period becomes 1 s and then 60 s
    Then each request that it read was answered
    And it has exited with code 0 after at least its linger time and before its grace period was over

  # Guards against requests that are cut because a daemon stops before it has joined.
  Scenario Outline: SIGTERM arrives in the first second, while requests are in progress
    Given a fleet on the platform
      | service   | zone | target arguments |
      | catalogue | za   | --work-ms 300    |
      | payments  | za   | --work-ms 300    |
    When the store takes <delay> s, and a daemon is killed, starts again and gets SIGTERM <after> s after its first answer
    Then each request that it read was answered
    And it has exited with code 0 before its grace period was over

    Examples:
      | delay | after |
      | 0     | 0     |
      | 0     | 0.4   |
      | 0     | 0.9   |
      | 0.8   | 0     |
      | 0.8   | 0.7   |

  # Guards against registrations of daemons that are gone: one that starts later tries to join
  # through them.
  Scenario Outline: SIGTERM arrives in the first second, while the store answers slowly
    When the store takes <delay> s, and a daemon gets SIGTERM <after> s after it serves
    Then it has exited with code 0 within 5 seconds, and the store holds no registration of it 2 seconds later

    Examples:
      | delay | after |
      | 0     | 0     |
      | 0.4   | 0.1   |
      | 1     | 0     |
      | 1     | 0.5   |
