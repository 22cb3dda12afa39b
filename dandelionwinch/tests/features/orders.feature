Feature: Orders from a process that has lost its authority change nothing

  Scenario: A paused holder wakes up beside an upstream that checks fencing
    Given an upstream that checks fencing
    And instance "a" has written an order to "decode"
    When instance "a" is paused right before it sends
    And 20 seconds pass
    And instance "b" takes the shard and carries the order out
    And instance "b" orders "prefill" and carries it out
    And instance "a" wakes up and sends
    Then the upstream has role "prefill"
    And the upstream took 2 orders

  Scenario: A paused holder keeps the shard of an upstream that ignores fencing
    Given an upstream that ignores fencing
    And instance "a" has written an order to "decode"
    When instance "a" is paused right before it sends
    And 20 seconds pass
    Then instance "b" may not take the shard
    And the reason names "ignores fencing"
    When instance "a" wakes up and sends
    Then the upstream has role "decode"
    And the upstream took 1 orders

  Scenario: A holder that is gone is succeeded, and its order is finished
    Given an upstream that ignores fencing
    And instance "a" has written an order to "decode"
    When the platform ends instance "a"
    And 20 seconds pass
    And instance "b" takes the shard and carries the order out
    Then the upstream has role "decode"
    And the upstream took 1 orders

  Scenario Outline: A role change cuts nothing
    Given an upstream that checks fencing
    And instance "a" has written an order to "decode"
    When <obstacle>
    Then the order waits because <reason>
    And the upstream took 0 orders

    Examples:
      | obstacle                               | reason                         |
      | an instance has 1 jobs on the upstream   | has 1 jobs on it               |
      | the upstream itself reports 2 jobs       | the upstream reports 2 jobs      |
      | an instance does not confirm the hold  | has not confirmed the hold     |
      | the hold was confirmed 8 seconds ago   | is running out                 |
      | the upstream does not report its load    | has not reported its load      |
