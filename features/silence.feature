@answer @config
Feature: Open connections become unresponsive while new ones work

  Background:
    Given a fleet of 3 entries, 3 control processes, 3 engines and 1 services
    And the workspaces "hotel" and "depot"

  # A middlebox drops the state of all open connections at once: no data arrives, and no connection closes. Neither end is
  # notified and TCP alone detects it only after minutes, in which requests would hang on seemingly healthy hosts.
  Scenario Outline: Open connections between <a> and <b> are forgotten
    When 3 chats of 50 tokens are started over all entries
    And all open connections between <a> and <b> are forgotten
    And 3000 ms pass
    And 6 chats of 10 tokens are spread over all entries
    Then each chat is answered whole, or was refused as "not-run"
    And the last 6 chats are answered whole

    Examples:
      | a       | b       |
      | entries | control |
      | entries | entries |
      | control | control |
