@answer
Feature: Each caller receives the whole answer to its own request

  Background:
    Given a fleet of 2 entries, 3 control processes, 3 engines and 0 services
    And the workspaces "hotel" and "depot"

  # A caller's text stops in the middle, or repeats some words after a pause.
  # An engine dies while it streams; the entry goes on with another one from the first token that is missing.
  # Cause: a restart from token 0 would give tokens twice, and an end that is taken for the whole would lose some.
  Scenario: The engine crashes in the middle of a stream
    When "hotel" starts a chat of 60 tokens on entry 1
    And 20 tokens have come
    And the engine that runs it crashes
    Then each chat is answered whole

  # A caller gets half an answer that looks complete.
  # Something between closes the connection in good order, without the terminal event.
  # Cause: the end of an HTTP body says nothing about the end of the answer.
  Scenario: The stream ends as if whole, without its terminal event
    Given each engine's next answer is "unfinished" after 15 tokens
    When "hotel" starts a chat of 60 tokens on entry 1
    Then each chat is answered whole

  Scenario: The connection is cut after some tokens
    Given each engine's next answer is "cut" after 15 tokens
    When "hotel" starts a chat of 60 tokens on entry 1
    Then each chat is answered whole

  # A stream hangs for good, although the engine is well.
  # Something between has lost track of the open connection: nothing more comes, and no end either.
  # Cause: without a bound on the time between tokens, an entry waits for ever.
  Scenario: The stream goes silent after some tokens
    Given each engine's next answer is "silent" after 15 tokens
    When "hotel" starts a chat of 60 tokens on entry 1
    Then each chat is answered whole
    And the longest pause was at most 3500 ms

  # A caller reads another caller's order summary.
  # An engine, or a connection used again too early, gives the events of another request.
  # Cause: on a shared connection only the events' own id tells whose answer it is.
  Scenario: The answer of another request comes first
    Given each engine's next answer is that of another request
    When "hotel" starts a chat of 30 tokens on entry 1
    Then each chat is answered whole

  Scenario: Chats of two workspaces at the same time are not mixed
    When "hotel" starts a chat of 40 tokens on entry 1
    And "depot" starts a chat of 40 tokens on entry 1
    And "hotel" starts a chat of 40 tokens on entry 2
    Then each chat is answered whole

  Scenario: Every engine is gone
    When "hotel" starts a chat of 60 tokens on entry 1
    And 20 tokens have come
    And all engines crash
    Then the last chat ends with the error "upstream-failed" and the outcome "partly-run"
