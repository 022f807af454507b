@orders @usage
Feature: One holder towards the platform, and usage billed exactly once

  # The platform gets two reports of one window with different figures.
  # The holder is isolated by a partition and does not know it; another takes over and reports; the partition heals.
  # Cause: two processes that each believe they are in charge, and bytes of the first that wait in its send buffer.
  Scenario Outline: The holder is isolated while windows close, on a platform that <checks> old tokens
    Given a fleet whose platform <checks> old fencing tokens
    And the workspaces "hotel" and "depot"
    When chats keep coming for 10 seconds
    And the holder is isolated for 20 seconds while chats keep coming
    And 20000 ms pass
    Then no window was reported with two figures
    And no report came from an old holder after a new one's
    And the reports give each workspace what was answered

    Examples:
      | checks  |
      | refuses |
      | ignores |

  # The platform gets a report of a holder that was replaced half a minute ago.
  # The holder loses all its links right after it has connected: the report waits in the kernel's send buffer. Another
  # holder takes over and reports; the links come back, and the kernel sends what it kept.
  # Cause: a lease that ends does not empty a send buffer.
  Scenario: A report waits in the send buffer of an isolated holder
    Given a fleet whose platform ignores old fencing tokens
    And the workspaces "hotel" and "depot"
    When chats keep coming for 2 seconds
    And the holder is isolated as soon as it has connected to the platform
    And 30000 ms pass
    And the isolated holder is joined again
    And 20000 ms pass
    Then no window was reported with two figures
    And no report came from an old holder after a new one's
    And the reports give each workspace what was answered

  # The platform gets a report of the old holder after one of the new holder.
  # The old holder's report is on its way for four seconds, and the new one has been elected meanwhile.
  # Cause: the end of a lease says nothing about what has left and not arrived.
  Scenario: A report is on its way while another holder takes over
    Given a fleet whose platform ignores old fencing tokens
    And the workspaces "hotel" and "depot"
    When chats keep coming for 2 seconds
    And the holder's next report takes 4500 ms while it is cut off from the other control processes
    And 30000 ms pass
    Then no window was reported with two figures
    And no report came from an old holder after a new one's

  # A workspace is billed less than it used.
  # An entry dies right after the last event of an answer; its meters were only in its memory.
  # Cause: usage that reaches the control log later than the answer reaches the caller.
  Scenario: An entry dies right after an answer
    Given a fleet of 3 entries, 3 control processes, 2 engines and 0 services
    And the workspaces "hotel" and "depot"
    When "hotel" sends a chat of 40 tokens to entry 1
    And entry 1 is killed
    And the usage window ends
    Then the platform has one report for each window
    And the reports give "hotel" 1 request and 40 tokens

  Scenario: A control process is killed and comes back, three times over, while windows close
    Given a fleet of 2 entries, 3 control processes, 2 engines and 0 services
    And the workspaces "hotel" and "depot"
    When chats keep coming while each control process is killed and restarted in turn
    And the usage window ends
    Then no window was reported with two figures
    And the reports give each workspace what was answered
