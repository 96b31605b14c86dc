Feature: Tasks run once, in one place, whatever fails

  Background:
    Given a cell of 4 agents

  Scenario Outline: A task moves from an owner that is out of reach
    Given a task of 400 s that runs
    When its owner is <fault> for <outage> s
    And 700 s pass
    Then the task completed
    And no task ran in two places
    And the task moved <moves> times

    Examples:
      | fault               | outage | moves |
      | unable to append    | 300    | 1     |
      | cut from the log    | 60     | 0     |
      | cut from the log    | 300    | 1     |
      | cut from all        | 300    | 1     |
      | cut from its worker | 100    | 1     |
      | frozen              | 10     | 0     |
      | frozen              | 300    | 1     |

  Scenario: An owner that reads late does not overrun its lease
    Given a task of 400 s that runs
    And its owner reads 60 s late
    When 70 s pass
    And its owner is unable to append for 300 s
    And 700 s pass
    Then the task completed
    And no task ran in two places

  Scenario: An outage of the store that is shorter than the lease stops no task
    Given a task of 400 s that runs
    When the store is down for 60 s
    And 500 s pass
    Then the task completed
    And the task moved 0 times

  Scenario: An outage of the store that is longer than the lease loses no work
    Given a task of 400 s that runs
    When the store is down for 600 s
    And 500 s pass
    Then the task completed
    And at most 1 s of work was lost
    And no task ran in two places

  Scenario: A service goes on through an outage of the store
    Given a service of 2 replicas that runs
    When the store is down for 3700 s
    Then 2 replicas ran throughout

  Scenario: A lost replica is replaced without waiting for its lease
    Given a service of 2 replicas that runs
    When the instance of a replica is lost
    And 15 s pass
    Then 2 replicas run in different racks

  Scenario: Urgent work starts at a full fleet
    Given the cell is full of work of urgency 1
    When an urgent task is submitted
    And 6 s pass
    Then the urgent task runs
    And every evicted task was checkpointed
    And no instance was overloaded

  Scenario: Urgent work does not lose the room made for it to a backlog
    Given the cell is full of work of urgency 1
    And 40 tasks of urgency 1 wait
    When 4 urgent tasks are submitted
    And 6 s pass
    Then 4 urgent tasks run
    And at most 8 tasks were evicted

  Scenario: Cancelled while it runs
    Given a task of 400 s that runs
    When its job is cancelled
    And 5 s pass
    Then the task ended as cancelled
    And nothing runs

  Scenario: A job that can never fit is refused with a reason
    When a task of 64000 millicores is submitted
    And 10 s pass
    Then the task ended as refused with "never fits"

  Scenario: A planned stop loses no work
    Given a task of 400 s that runs
    When its owner drains
    And 500 s pass
    Then the task completed
    And at most 1 s of work was lost
    And the task moved 1 times

  Scenario: A noisy task is throttled, and no quiet one is evicted
    Given a noisy task of 16000 millicores that runs
    And a task of 400 s that runs
    When 60 s pass
    Then the noisy task is throttled
    And the task moved 0 times
