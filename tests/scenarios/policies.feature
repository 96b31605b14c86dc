Feature: Policies for quarantine, quotas and batch throttling

  Scenario: A worker that fails every task is quarantined until it is repaired
    Given a cell of 10 workers
    When 1 worker fails every task it starts during 200 jobs
    Then 1 worker is quarantined
    And no healthy worker is quarantined
    When all workers are healthy during 600 jobs
    Then 0 workers are quarantined

  Scenario: At most a fifth of a cell is quarantined at a time
    Given a cell of 10 workers
    When 4 workers fail every task they start during 400 jobs
    Then 2 workers are quarantined
    And no healthy worker is quarantined

  Scenario: A job that fails on every worker is refused and no worker is quarantined
    Given a cell of 10 workers
    When job "broken" fails on every worker during 200 jobs
    Then job "broken" is refused with the workers it failed on
    And 0 workers are quarantined

  Scenario: Many jobs that fail on every worker cause no quarantine
    Given a cell of 10 workers
    When 4 of 10 jobs fail on every worker during 200 jobs
    Then 0 workers are quarantined

  Scenario: A burst of random failures quarantines no worker
    Given a cell of 10 workers
    When 25 % of all starts fail during 300 jobs
    Then 0 workers are quarantined

  Scenario: A team with a large backlog yields cores that are within another team's quota
    Given teams "ana" and "kofi" with quotas of 30 cores each
    And cell "north" of 64 cores, all held by "ana", which waits for 900 more
    When "kofi" waits for 20 cores in "north"
    Then "kofi" may preempt there and "ana" is to give back 20 cores
    And "ana" may not start there, because its share is in use

  Scenario: Unused quota is available to other teams
    Given teams "ana" and "kofi" with quotas of 30 cores each
    And cell "north" of 64 cores, of which "ana" holds 40
    Then "ana" may start a task of 8 cores in "north"

  Scenario: A program known to be noisy is throttled as soon as it starts again
    Given a feedback controller that has run "noisy" and "quiet" for an hour
    When "noisy" and "quiet" start again after a pause
    Then "quiet" gets a larger share than "noisy" at once
    And the service's expected latency is within target
