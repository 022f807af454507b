@orders @usage
Feature: Only one holder acts on the platform, and usage is billed exactly once

  # The platform must not receive two reports of one window with different figures. A partition isolates the holder, which
  # does not notice; another process takes over and reports; then the partition heals. For a time both processes assume that
  # they hold the lease, and data of the first one may wait in its send buffer.
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

  # The platform must not receive a report of a holder that was replaced 30 seconds ago. The holder loses all links right
  # after it has connected, so that its report waits in the kernel's send buffer. Another holder takes over and reports; when
  # the links recover, the kernel sends the old report. The end of a lease does not clear a send buffer.
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

  # The platform must not receive a report of the old holder after one of the new holder. The old holder's report is in
  # transit for over four seconds, in which a new holder is elected. The end of a lease does not recall sent messages.
  Scenario: A report is in transit while another holder takes over
    Given a fleet whose platform ignores old fencing tokens
    And the workspaces "hotel" and "depot"
    When chats keep coming for 2 seconds
    And the holder's next report takes 4500 ms while it is cut off from the other control processes
    And 30000 ms pass
    Then no window was reported with two figures
    And no report came from an old holder after a new one's

  # An entry dies right after the last event of an answer. If its usage reached the control log only after the answer
  # reached the caller, it would be lost with the entry's memory and the workspace would be billed too little.
  Scenario: An entry is killed right after an answer
    Given a fleet of 3 entries, 3 control processes, 2 engines and 0 services
    And the workspaces "hotel" and "depot"
    When "hotel" sends a chat of 40 tokens to entry 1
    And entry 1 is killed
    And the usage window ends
    Then the platform has one report for each window
    And the reports give "hotel" 1 request and 40 tokens

  Scenario: Each control process is killed and restarted in turn while windows close
    Given a fleet of 2 entries, 3 control processes, 2 engines and 0 services
    And the workspaces "hotel" and "depot"
    When chats keep coming while each control process is killed and restarted in turn
    And the usage window ends
    Then no window was reported with two figures
    And the reports give each workspace what was answered
