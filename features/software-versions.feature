@software
Feature: An answer that goes on at another engine stays with the software version that began it

  Background:
    Given a fleet of 2 entries whose 6 engines run the software versions "1.0, 2.0" in turn
    And the workspaces "hotel" and "depot"

  # What two versions write does not fit together, so an answer that mixes them is wrong though each token is there.
  Scenario: Engines crash in the middle of streams
    When 24 chats of 60 tokens are started over all entries
    And 400 ms pass
    And an engine of each version crashes
    Then each chat is answered whole
    And some chats have run at several engines
    And no chat has tokens of two software versions

  Scenario: Streams stall
    Given each engine's next answer is "silent" after 15 tokens
    When 12 chats of 60 tokens are started over all entries
    Then each chat is answered whole
    And some chats have run at several engines
    And no chat has tokens of two software versions

  Scenario: Connections are cut after some tokens
    Given each engine's next answer is "cut" after 15 tokens
    When 12 chats of 60 tokens are started over all entries
    Then each chat is answered whole
    And some chats have run at several engines
    And no chat has tokens of two software versions

  Scenario: Lower tiers are preempted for a higher one
    Given the engines are busy with chats of "depot" of the class "bulk"
    When 12 chats of "hotel" of the class "sheet" are started over all entries
    And 12000 ms pass
    Then some chats have run at several engines
    And no chat has tokens of two software versions

  # Without an engine of the version that began it, the caller is told that the answer is not whole.
  Scenario: The only version that began a stream is gone
    When "hotel" starts a chat of 60 tokens on entry 1
    And 20 tokens have come
    And all engines of the version that runs it crash
    Then the last chat ends with an error and the outcome "partly-run"
    And no chat has tokens of two software versions
