@usage @power
Feature: All hosts lose power at the same moment, entries included

  Background:
    Given a fleet of 3 entries, 3 control processes, 3 engines and 1 services
    And the workspaces "hotel" and "depot"

  # The outcome of a call that must not be repeated is in the control log before its answer is sent.
  Scenario: An answered order keeps its answer
    When "hotel" sends the order "12 loaves" with the idempotency key "monday" to entry 1
    And all hosts lose power at once and come back
    And "hotel" sends the order "12 loaves" with the idempotency key "monday" to entry 2
    Then the last order has the outcome "answered"
    And the order "12 loaves" has run once

  # An entry's usage batch is held by another entry before an answer ends, and by the control log only later.
  Scenario: Chats that were answered just before are billed
    When 12 chats of 10 tokens are spread over all entries
    And each chat is answered whole
    And all hosts lose power at once and come back
    And the usage window ends
    Then the platform was billed for 12 chats

  # What an answer stands for is durable before the answer, whichever moment power goes at, also right after the holder was lost.
  Scenario Outline: Power goes at a random moment under chats and orders
    When chats and orders keep coming for a random time, by seed <seed>
    And all hosts lose power at once and come back
    And the usage window ends
    Then each chat and order that was answered before the loss is billed, and none that did not run
    And no order has run twice

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
