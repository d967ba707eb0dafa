Feature: Promises that hold under faults, on a simulated network and a virtual clock
  Six daemons share the targets. "No promise is broken" runs the offline checker, which compares
  what callers were told with what the targets ran.

  Scenario: A killed owner's executors are served again within 5 s
    Given a cell of 6 daemons, 6 executors and 4 workers
    When callers send 40 idempotent requests over 8 s
    And the owner of executor-1 is killed
    Then every executor is served by another daemon within 5 s
    When 10 s pass
    Then no promise is broken

  Scenario: An owner resumes after its right to act has expired and another serves its executors
    Given a cell of 6 daemons, 6 executors and 4 workers
    When callers send 120 non-idempotent requests over 12 s
    And the owner of executor-2 is frozen for 7 s
    Then every executor is served by another daemon within 5 s
    When 14 s pass
    Then no promise is broken

  Scenario: An owner is frozen between a decision and the sending of it
    Given a cell of 6 daemons, 6 executors and 4 workers
    When callers send 120 non-idempotent requests over 12 s
    And the owner of executor-2 is frozen after its next decision
    And 20 s pass
    Then no promise is broken

  Scenario: Two daemons believe that they own the same targets
    Given a cell of 6 daemons, 6 executors and 4 workers
    When callers send 120 idempotent requests over 12 s
    And 6 idempotent jobs of 3 tasks that run 4 s are submitted
    And the owner of worker-1 reaches only its targets for 9 s
    And 60 s pass
    Then no promise is broken

  Scenario: A worker is unreachable for longer than a lease and becomes reachable again
    Given a cell of 6 daemons, 2 executors and 4 workers
    When 6 idempotent jobs of 3 tasks that run 8 s are submitted
    And the jobs are acknowledged
    And 2 s pass
    And worker-1 cannot be reached for 20 s
    Then every job has succeeded within 60 s
    And no promise is broken

  Scenario: Answers to starts are lost and starts arrive late
    Given a cell of 6 daemons, 6 executors and 4 workers
    When some answers are lost and some calls to targets are late for 10 s
    And callers send 80 non-idempotent requests over 10 s
    And 6 non-idempotent jobs of 3 tasks that run 2 s are submitted
    And 60 s pass
    Then no promise is broken

  Scenario: An owner is killed while the store is down
    Given a cell of 6 daemons, 6 executors and 4 workers
    When 4 idempotent jobs of 3 tasks that run 12 s are submitted
    And the jobs are acknowledged
    And the store is down for 15 s
    And the owner of worker-1 is killed
    Then every job has succeeded within 90 s
    And no promise is broken

  Scenario: A store outage of 10 minutes refuses no request to a service with free slots
    Given a cell of 6 daemons, 6 executors and 4 workers
    When the store is down for 600 s
    And callers send 1200 idempotent requests over 600 s
    And 605 s pass
    Then every request ran
    And no promise is broken

  Scenario: Requests with the same key through several daemons at once
    Given a cell of 6 daemons, 6 executors and 4 workers
    When key "lacquer-1" is sent through 5 daemons at once
    And 6 s pass
    Then exactly one of the requests ran
    And no promise is broken

  Scenario: A request with a key that was used before every daemon was replaced
    Given a cell of 6 daemons, 6 executors and 4 workers
    When key "lacquer-2" is sent through 1 daemons at once
    And 6 s pass
    And every daemon is replaced at once
    And 12 s pass
    And key "lacquer-2" is sent through 3 daemons at once
    And 6 s pass
    Then exactly one of the requests ran
    And no promise is broken

  Scenario: Requests with the same key while the store is down
    Given a cell of 6 daemons, 6 executors and 4 workers
    When the store is down for 10 s
    And key "lacquer-3" is sent through 3 daemons at once
    And 20 s pass
    Then at most one of the requests ran
    And no promise is broken

  Scenario: Every daemon is killed right after a job was acknowledged
    Given a cell of 6 daemons, 2 executors and 4 workers
    When 6 idempotent jobs of 2 tasks that run 1 s are submitted
    And the jobs are acknowledged
    And every daemon is replaced at once
    Then every task of the jobs has started within 10 s
    And every job has succeeded within 30 s
    And no promise is broken

  Scenario: A job acknowledged while answers are lost survives a store outage of 10 minutes
    Given a cell of 6 daemons, 2 executors and 4 workers
    When some answers are lost and some calls to targets are late for 4 s
    And 6 idempotent jobs of 2 tasks that run 1 s are submitted
    And the jobs are acknowledged
    And the store is down for 600 s
    And 610 s pass
    Then every job has succeeded within 30 s
    And no promise is broken

  Scenario: All-or-nothing jobs share the workers without a deadlock
    Given a cell of 6 daemons, 2 executors and 4 workers
    When 6 all-or-nothing jobs of 8 tasks that run 1 s are submitted
    And the jobs are acknowledged
    Then every job has succeeded within 60 s
    And no promise is broken

  Scenario: A leaving target gets no new work, also when its owner is killed and the store is down
    Given a cell of 6 daemons, 6 executors and 4 workers
    When callers send 200 idempotent requests over 15 s
    And 8 idempotent jobs of 4 tasks that run 3 s are submitted
    And the store is down for 12 s
    And executor-1 begins to leave
    And worker-1 begins to leave
    And 1 s pass
    And the owner of executor-1 is killed
    And 60 s pass
    Then no promise is broken

  Scenario: Rolling replacement of all daemons under load interrupts no request
    Given a cell of 6 daemons, 6 executors and 4 workers
    When callers send 400 non-idempotent requests over 40 s
    And every daemon is stopped gracefully and replaced, one after the other
    And 20 s pass
    Then every request ran
    And no promise is broken

  Scenario: A change takes effect on all daemons although watches stall and reads are stale
    Given a cell of 6 daemons, 2 executors and 2 workers
    When the store reads 5 s stale and its watches stall
    And the policy "batch" gets priority 7
    Then the policy "batch" has priority 7 on all daemons within 3 s
    When 20 s pass
    Then the policy "batch" has priority 7 on all daemons within 3 s

  Scenario: Two operators change the same policy at once
    Given a cell of 6 daemons, 2 executors and 2 workers
    When two operators give the policy "batch" priorities 3 and 4 at once
    And 2 s pass
    Then the policy "batch" is the same on all daemons within 1 s
    And no promise is broken

  Scenario: A daemon that starts during a store outage gets the configuration
    Given a cell of 6 daemons, 2 executors and 2 workers
    When the policy "batch" gets priority 9
    And 1 s pass
    And the store is down for 5 s
    And a daemon starts
    And 5 s pass
    Then the policy "batch" has priority 9 on all daemons within 3 s
