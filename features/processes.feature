Feature: Daemons and stand-ins as separate processes, end to end
  Stand-ins and daemons run as processes on loopback. Only outcomes are checked, not latencies.

  Scenario: Each kind of work through each daemon, with a kill, a freeze and a graceful stop
    Given 3 daemons, 3 executors and 3 workers as processes
    Then a request, a job and an all-or-nothing job run through each daemon
    And only one of two requests with the same key runs
    When a daemon is killed with SIGKILL and started again
    Then a request, a job and an all-or-nothing job run through each daemon
    When a daemon is frozen with SIGSTOP for 5 s under load
    Then no target exceeded its capacity
    When a daemon is stopped with SIGTERM under load
    Then it exited with code 0 and every request ran
    And no target exceeded its capacity
