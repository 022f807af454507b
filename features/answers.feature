@answer
Feature: Each caller receives the whole answer to its own request

  Background:
    Given a fleet of 2 entries, 3 control processes, 3 engines and 0 services
    And the workspaces "hotel" and "depot"

  # When an engine dies while it streams, the entry continues on another one from the first missing token.
  # A restart from token 0 would deliver tokens twice, and taking the broken stream for complete would lose some.
  Scenario: The engine crashes in the middle of a stream
    When "hotel" starts a chat of 60 tokens on entry 1
    And 20 tokens have come
    And the engine that runs it crashes
    Then each chat is answered whole

  # An intermediary closes the connection in good order, but without the terminal event. The end of an HTTP body does not
  # mean the end of the answer; otherwise the caller would receive half an answer that looks complete.
  Scenario: The stream ends in good order without its terminal event
    Given each engine's next answer is "unfinished" after 15 tokens
    When "hotel" starts a chat of 60 tokens on entry 1
    Then each chat is answered whole

  Scenario: The connection is cut after some tokens
    Given each engine's next answer is "cut" after 15 tokens
    When "hotel" starts a chat of 60 tokens on entry 1
    Then each chat is answered whole

  # An intermediary has lost track of the open connection of a healthy engine: neither data nor an end arrives.
  # Without a limit on the time between tokens the entry would wait forever.
  Scenario: The stream stalls after some tokens
    Given each engine's next answer is "silent" after 15 tokens
    When "hotel" starts a chat of 60 tokens on entry 1
    Then each chat is answered whole
    And the longest pause was at most 3500 ms

  # An engine, or a connection that is reused too early, delivers the events of another request. On a shared connection only
  # the id in the events shows to which request they belong; without a check, a caller would read another caller's answer.
  Scenario: The events of another request arrive first
    Given each engine's next answer is that of another request
    When "hotel" starts a chat of 30 tokens on entry 1
    Then each chat is answered whole

  Scenario: Concurrent chats of two workspaces are not mixed up
    When "hotel" starts a chat of 40 tokens on entry 1
    And "depot" starts a chat of 40 tokens on entry 1
    And "hotel" starts a chat of 40 tokens on entry 2
    Then each chat is answered whole

  Scenario: All engines crash during a stream
    When "hotel" starts a chat of 60 tokens on entry 1
    And 20 tokens have come
    And all engines crash
    Then the last chat ends with the error "upstream-failed" and the outcome "partly-run"
