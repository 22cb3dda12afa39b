Feature: Orders from a process that has lost its authority change nothing

  Scenario: A paused holder wakes up beside a runner that checks fencing
    Given a runner that checks fencing
    And instance "a" has written an order to "decode"
    When instance "a" is paused right before it sends
    And 20 seconds pass
    And instance "b" takes the shard and carries the order out
    And instance "b" orders "prefill" and carries it out
    And instance "a" wakes up and sends
    Then the runner has role "prefill"
    And the runner took 2 orders

  Scenario: A paused holder keeps the shard of a runner that ignores fencing
    Given a runner that ignores fencing
    And instance "a" has written an order to "decode"
    When instance "a" is paused right before it sends
    And 20 seconds pass
    Then instance "b" may not take the shard
    And the reason names "ignores fencing"
    When instance "a" wakes up and sends
    Then the runner has role "decode"
    And the runner took 1 orders

  Scenario: A holder that is gone is succeeded, and its order is finished
    Given a runner that ignores fencing
    And instance "a" has written an order to "decode"
    When the platform ends instance "a"
    And 20 seconds pass
    And instance "b" takes the shard and carries the order out
    Then the runner has role "decode"
    And the runner took 1 orders

  Scenario Outline: A role change cuts nothing
    Given a runner that checks fencing
    And instance "a" has written an order to "decode"
    When <obstacle>
    Then the order waits because <reason>
    And the runner took 0 orders

    Examples:
      | obstacle                               | reason                         |
      | an instance has 1 jobs on the runner   | has 1 jobs on it               |
      | the runner itself reports 2 jobs       | the runner reports 2 jobs      |
      | an instance does not confirm the hold  | has not confirmed the hold     |
      | the hold was confirmed 8 seconds ago   | is running out                 |
      | the runner does not report its load    | has not reported its load      |
