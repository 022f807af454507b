@limit
Feature: An upstream that advertises a request limit receives no more than that

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
