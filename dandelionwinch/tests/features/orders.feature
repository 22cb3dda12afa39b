Feature: Orders from a process that has lost its lease have no effect

  Scenario: A paused holder resumes, and the upstream checks fencing tokens
    Given an upstream that checks fencing tokens
    And instance "a" has written an order to "decode"
    When instance "a" is paused right before it sends the order
    And 20 seconds pass
    And instance "b" acquires the shard and completes the order
    And instance "b" orders "prefill" and completes the order
    And instance "a" resumes and sends the order
    Then the upstream has role "prefill"
    And the upstream accepted 2 orders

  Scenario: A paused holder keeps its shard if the upstream ignores fencing tokens
    Given an upstream that ignores fencing tokens
    And instance "a" has written an order to "decode"
    When instance "a" is paused right before it sends the order
    And 20 seconds pass
    Then instance "b" can't acquire the shard
    And the reason contains "ignores fencing"
    When instance "a" resumes and sends the order
    Then the upstream has role "decode"
    And the upstream accepted 1 orders

  Scenario: The next holder completes the order of a terminated one
    Given an upstream that ignores fencing tokens
    And instance "a" has written an order to "decode"
    When the platform terminates instance "a"
    And 20 seconds pass
    And instance "b" acquires the shard and completes the order
    Then the upstream has role "decode"
    And the upstream accepted 1 orders

  Scenario Outline: A role change waits until the upstream is drained
    Given an upstream that checks fencing tokens
    And instance "a" has written an order to "decode"
    When <obstacle>
    Then the order waits because <reason>
    And the upstream accepted 0 orders

    Examples:
      | obstacle                                | reason                      |
      | an instance has 1 jobs on the upstream  | has 1 jobs on it            |
      | the upstream itself reports 2 jobs      | the upstream reports 2 jobs |
      | an instance does not confirm the hold   | has not confirmed the hold  |
      | the hold was confirmed 8 seconds ago    | is running out              |
      | the upstream does not report its load   | has not reported its load   |
