@processes
Feature: The promises hold between processes of their own

  The other features run all processes in one, under virtual time. These few run them as they are deployed, on loopback,
  and give signals that no process can catch.

  # A household is charged twice, or told that nothing was ordered while the butcher has the order.
  # An entry dies with orders and chats under way; their callers send them again through the other entry.
  # Cause: the entry that takes the resend knows nothing of what the dead one had already sent.
  @at-most-once @not-run
  Scenario: An entry is killed while orders and chats run
    Given processes: 2 entries and 3 control processes
    When 60 chats and 60 orders are sent within 3000 ms
    And 20 requests have ended, and entry 1 is killed
    Then some callers had to send again, and each has an answer or a truthful "unknown"
    And no call has run twice, and nothing refused has run
    And the usage windows are reported once, with what was answered

  # A key that an operator granted is gone, or a window is billed twice.
  # The control holder dies; soon after it is back, another control process dies too.
  # Cause: an answer that stood on the disk of one host, or a successor that begins a report anew.
  @config @usage
  Scenario: The control holder is killed, and another one after the first is back
    Given processes: 2 entries and 3 control processes
    When 40 chats and 40 orders are sent within 3000 ms
    And the control holder is killed while 12 workspaces are made
    And the killed control process is back
    And the control holder is killed while 12 workspaces are made
    Then each accepted workspace is there with its key
    And each request has an answer or a truthful "unknown"
    And the usage windows are reported once, with what was answered

  # The platform gets two figures for one window, or an order of a process that is no longer in charge.
  # The holder freezes with a report under way, another takes over, and the first wakes up and goes on where it was.
  # Cause: a lease that was checked before the freeze and used after it. This platform ignores fencing tokens.
  @usage @orders
  Scenario: The control holder freezes and wakes after another has taken over
    Given processes: 2 entries and 3 control processes, and a platform that ignores fencing tokens
    When 40 chats and 40 orders are sent within 6000 ms
    And the control holder is frozen until another has reported a usage window, and wakes
    Then each request has an answer or a truthful "unknown"
    And the usage windows are reported once, with what was answered

  # All workspaces are gone after a repair.
  # A disk is replaced; the empty process joins again; then another host is lost for good.
  # Cause: an empty folder that counts for the majority before it holds what was accepted.
  @config
  Scenario: A control process comes back with an empty folder, and another is killed
    Given processes: 2 entries and 3 control processes
    When a control process that is not the holder is killed, loses its folder and is promoted again
    And the control holder is killed while 12 workspaces are made
    Then each accepted workspace is there with its key

  # A sheet breaks off in the middle whenever a host is updated.
  # The supervisor sends SIGTERM while answers stream.
  # Cause: a process that ends when it is told to, not when its work has ended.
  @stop
  Scenario: An entry is stopped as planned while it streams
    Given processes: 2 entries and 3 control processes
    When 12 chats of 300 tokens stream over entry 1
    And the process of entry 1 is stopped as planned
    Then it ends with the exit code 0
    And all streams came whole

  # A key that leaked goes on being used by a caller who keeps a stream open.
  # Cause: a key that is looked at only when a request comes in.
  @key
  Scenario: A key is withdrawn while its stream runs
    Given processes: 2 entries and 3 control processes
    When 1 chats of 5000 tokens stream over entry 1
    And their key is withdrawn
    Then the streams end with the error "key-withdrawn" and the outcome "partly-run"
    And neither entry takes the key any more
    And no upstream of the processes has seen a key
