@answer @usage @key
Feature: Requests from caller to upstream and back
  A caller's request goes through an entry to an upstream, the answer goes back, and its usage is reported once.

  Background:
    Given a fleet of 2 entries, 3 control processes, 3 engines and 2 services
    And the workspaces "hotel" and "depot"

  Scenario: Each entry returns the complete answer of a streamed chat
    When "hotel" sends a chat of 40 tokens to entry 1
    And "depot" sends a chat of 25 tokens to entry 2
    Then each chat is answered whole
    And no upstream has seen a key

  Scenario: A call that must not be repeated runs once however often it is sent
    When "depot" sends the order "12 drums" with the idempotency key "o-1" to entry 1
    And "depot" sends the order "12 drums" with the idempotency key "o-1" to entry 2
    Then both orders are answered alike
    And the order "12 drums" has run once

  # The entry dies right after the response, and the caller repeats the call through another entry. If usage were counted
  # separately from the record of the call, the call could be billed twice or not at all.
  Scenario: A call is billed once, even if its entry is killed right after it
    When "depot" sends the order "7 drums" with the idempotency key "o-2" to entry 1
    And entry 1 is killed
    And "depot" sends the order "7 drums" with the idempotency key "o-2" to entry 2
    And the usage window ends
    Then the order "7 drums" has run once
    And the reports give "depot" 1 request and 0 tokens

  Scenario: A usage window closes and is reported once, with the usage of both entries
    When "hotel" sends a chat of 40 tokens to entry 1
    And "hotel" sends a chat of 30 tokens to entry 2
    And the usage window ends
    Then the platform has one report for each window
    And the reports give "hotel" 2 requests and 70 tokens

  Scenario: A key that was never granted is refused
    When "stranger" sends a chat of 10 tokens to entry 1
    Then the last chat is refused with 401 "key-unknown" and the outcome "not-run"
