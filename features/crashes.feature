@quarantine
Feature: A request that crashes the upstreams that run it reaches only a few of them

  Background:
    Given a fleet of 2 entries, 3 control processes, 8 engines and 8 services
    And the workspaces "hotel" and "depot"

  # Prevents a chat that the entry and the caller retry from crashing one engine after the other.
  Scenario: A chat crashes each engine that begins to run it
    When "hotel" sends 4 times the same chat that crashes its engine, to each entry in turn
    Then at most 4 engines have crashed
    And the last chat is refused with the error "quarantined" and the outcome "not-run"

  Scenario: Other chats are still answered
    When "hotel" sends 4 times the same chat that crashes its engine, to each entry in turn
    And "depot" starts a chat of 20 tokens on entry 1
    And "hotel" starts a chat of 20 tokens on entry 2
    Then the last 2 chats are answered whole

  # Prevents an order that is repeated under new idempotency keys from crashing one service after the other.
  Scenario: An order crashes each service that begins to run it
    When "hotel" sends 6 times the same order that crashes its service, each under a key of its own
    Then at most 4 services have crashed
    And the last order is refused with the error "quarantined" and the outcome "not-run"
