Feature: Each task runs once, on one instance, despite failures

  Background:
    Given a cell of 4 agents

  Scenario Outline: A task survives a fault of its owner
    Given a running task of 400 s
    When its owner is <fault> for <outage> s
    And 700 s pass
    Then the task completed
    And no task ran twice at the same time
    And the task was moved <moves> times

    Examples:
      | fault               | outage | moves |
      | unable to append    | 300    | 1     |
      | cut from the log    | 60     | 0     |
      | cut from the log    | 300    | 1     |
      | cut from all        | 300    | 1     |
      | cut from its worker | 100    | 1     |
      | frozen              | 10     | 0     |
      | frozen              | 300    | 1     |

  Scenario: An owner that reads the log late does not run its task past its lease
    Given a running task of 400 s
    And its owner reads the log 60 s late
    When 70 s pass
    And its owner is unable to append for 300 s
    And 700 s pass
    Then the task completed
    And no task ran twice at the same time

  Scenario: A store outage shorter than the lease stops no task
    Given a running task of 400 s
    When the store is down for 60 s
    And 500 s pass
    Then the task completed
    And the task was moved 0 times

  Scenario: A store outage longer than the lease loses no work
    Given a running task of 400 s
    When the store is down for 600 s
    And 500 s pass
    Then the task completed
    And at most 1 s of work was lost
    And no task ran twice at the same time

  Scenario: A service keeps running during a store outage
    Given a running service of 2 replicas
    When the store is down for 3700 s
    Then 2 replicas ran throughout

  Scenario: A lost replica is replaced before its lease expires
    Given a running service of 2 replicas
    When the instance of a replica is lost
    And 15 s pass
    Then 2 replicas run in different racks

  Scenario: Urgent work preempts less urgent work in a full cell
    Given the cell is full of work of urgency 1
    When an urgent task is submitted
    And 6 s pass
    Then the urgent task runs
    And every evicted task was checkpointed
    And no instance was overloaded

  Scenario: Capacity freed for urgent work is not taken by a backlog of less urgent work
    Given the cell is full of work of urgency 1
    And 40 tasks of urgency 1 are queued
    When 4 urgent tasks are submitted
    And 6 s pass
    Then 4 urgent tasks run
    And at most 8 tasks were evicted

  Scenario: A job is cancelled while its task runs
    Given a running task of 400 s
    When its job is cancelled
    And 5 s pass
    Then the task ended as cancelled
    And no task is running

  Scenario: A job that can never fit is refused with a reason
    When a task of 64000 millicores is submitted
    And 10 s pass
    Then the task ended as refused with "never fits"

  Scenario: A drain loses no work
    Given a running task of 400 s
    When its owner drains
    And 500 s pass
    Then the task completed
    And at most 1 s of work was lost
    And the task was moved 1 times

  Scenario: A noisy task is throttled and no other task is evicted
    Given a running noisy task of 16000 millicores
    And a running task of 400 s
    When 60 s pass
    Then the noisy task is throttled
    And the task was moved 0 times
