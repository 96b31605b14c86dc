Feature: Decisions about workers, jobs, teams and batch work

  Scenario: A worker that fails everything is quarantined until it is repaired
    Given a cell of 10 workers
    When 1 worker fails all it starts during 200 jobs
    Then 1 worker is quarantined
    And no sound worker is quarantined
    When all workers are sound during 600 jobs
    Then 0 workers are quarantined

  Scenario: At most a fifth of a cell is quarantined at a time
    Given a cell of 10 workers
    When 4 workers fail all they start during 400 jobs
    Then 2 workers are quarantined
    And no sound worker is quarantined

  Scenario: A job that fails everywhere is refused and no worker is blamed
    Given a cell of 10 workers
    When job "broken" fails everywhere during 200 jobs
    Then job "broken" is refused with the workers it failed on
    And 0 workers are quarantined

  Scenario: Many jobs that fail everywhere quarantine no worker
    Given a cell of 10 workers
    When 4 of 10 jobs fail everywhere during 200 jobs
    Then 0 workers are quarantined

  Scenario: A wave of noise quarantines no worker
    Given a cell of 10 workers
    When 25 % of all starts fail during 300 jobs
    Then 0 workers are quarantined

  Scenario: A team that floods gives back what another team is due
    Given teams "ana" and "kofi" with quotas of 30 cores each
    And cell "north" of 64 cores, all held by "ana", which waits for 900 more
    When "kofi" waits for 20 cores in "north"
    Then "kofi" may preempt there and "ana" is to give back 20 cores
    And "ana" may not start there, for its share is in use

  Scenario: Unused quota is lent
    Given teams "ana" and "kofi" with quotas of 30 cores each
    And cell "north" of 64 cores, of which "ana" holds 40
    Then "ana" may start a task of 8 cores in "north"

  Scenario: A noisy program that was learned is throttled as soon as it returns
    Given a feedback controller that has run "noisy" and "quiet" for an hour
    When "noisy" and "quiet" start again after a pause
    Then "quiet" gets a larger share than "noisy" at once
    And the service's expected latency is within target
