Feature: Each task runs on one instance and ends once while real processes fail

  Background:
    Given one cell of 3 agents with 32 cores and a batch lease of 5 s

  Scenario Outline: A failure or drain occurs while tasks run
    When a job of 9 tasks with 8 cores and 8 s each is submitted
    And all its tasks run
    And <failure>
    Then the job's tasks are all completed within 60 s
    And no task ran twice at the same time
    And no worker ran more than 32 cores
    And each task was resumed from where it was stopped

    Examples:
      | failure                                 |
      | agent-1 is killed                       |
      | agent-1 is frozen for 12 s              |
      | agent-1 is drained by an operator       |
      | the log is down for 12 s                |
      | the log loses the replies to 10 appends |

  Scenario: A cancelled job ends once
    When a job of 9 tasks with 8 cores and 8 s each is submitted
    And all its tasks run
    And the job is cancelled
    Then the job's tasks are all cancelled within 20 s
    And no task of the job is running

  Scenario: Tasks of an evacuated data centre end there, and others wait
    When a job of 9 tasks with 8 cores and 8 s each is submitted
    And all its tasks run
    And the data centre is evacuated
    And 5 s pass
    And a job of one task is submitted
    Then the first job's tasks are all completed, and none was released
    And the second job waits since its data centre is evacuated
    When agent-1 is killed and restarted
    Then the second job waits since its data centre is evacuated
    When the data centre is restored
    Then the second job's task is completed within 30 s

  Scenario: A job that fits on no instance is refused immediately
    When a job of one task with 99 cores is submitted
    Then it is refused with status 422 and reason never-fits, and is not run

  Scenario: A lost replica of a service is replaced long before its lease expires
    When a service of 3 replicas is submitted
    And all its tasks run
    And agent-1 is killed
    Then 3 replicas run on the other agents within 20 s
