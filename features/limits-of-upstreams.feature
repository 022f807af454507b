@limit
Feature: Upstreams that limit their requests in their responses receive no more than that

  Background:
    Given a fleet of 3 entries, 3 control processes, 3 engines and 3 services
    And the workspaces "hotel" and "depot"

  # Prevents an overloaded engine from receiving its usual share although its responses advertise a limit.
  Scenario: An engine advertises a limit in its responses to chats
    Given an engine names a limit of 1 request a second
    When 120 chats of 40 tokens are spread over all entries within 12 seconds
    Then each chat is answered whole
    And that engine got at most 20 requests

  Scenario: A service advertises a limit in its responses to calls
    Given a service names a limit of 1 request a second
    When 120 orders are spread over all entries within 12 seconds
    Then that service got at most 20 requests

  # Each entry is asked once in 4 seconds at most; without the back-off the engine would get a third of the chats.
  Scenario: An engine asks the entries to back off in its responses to chats
    Given an engine turns all requests away for 4 seconds at a time
    When 120 chats of 40 tokens are spread over all entries within 12 seconds
    Then each chat is answered whole
    And that engine got at most 18 requests

  Scenario: Services ask the entries to back off in their responses to calls
    Given each service turns all requests away for 4 seconds at a time
    When 120 orders are spread over all entries within 12 seconds
    Then the services got at most 36 requests together
