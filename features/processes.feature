@processes
Feature: The guarantees hold between separate operating-system processes

  The other features simulate all processes in one, under virtual time. These run them as they are deployed, on loopback,
  and send them signals that a process can't catch.

  # An entry dies with orders and chats in progress, and their callers send them again through the other entry, which does not
  # see what the dead one had already sent. An order must neither run twice nor be reported as not run when it ran.
  @at-most-once @not-run
  Scenario: An entry is killed while orders and chats run
    Given processes: 2 entries and 3 control processes
    When 60 chats and 60 orders are sent within 3000 ms
    And 20 requests have ended, and entry 1 is killed
    Then some callers had to send again, and each has an answer or a truthful "unknown"
    And no call has run twice, and nothing refused has run
    And the usage windows are reported once, with what was answered

  # The control holder dies, and soon after it is back another one dies too. A change that was acknowledged when only one
  # host had stored it would be lost, and a successor that made a new report would bill a window twice.
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

  # The holder freezes with a report in progress, another process takes over, and the first one resumes where it was. It
  # checked its lease before the freeze and relies on it afterwards, so that the platform could receive two figures for one
  # window, or an order of a former holder. This platform ignores fencing tokens.
  @usage @orders
  Scenario: The control holder freezes and resumes after another has taken over
    Given processes: 2 entries and 3 control processes, and a platform that ignores fencing tokens
    When 40 chats and 40 orders are sent within 6000 ms
    And the control holder is frozen until another has reported a usage window, and wakes
    Then each request has an answer or a truthful "unknown"
    And the usage windows are reported once, with what was answered

  # A control process rejoins with an empty folder after its disk was replaced; then another host is lost permanently. If
  # the empty replica counted towards the majority before it stored all accepted entries, all workspaces could be lost.
  @config
  Scenario: A control process rejoins with an empty folder, and the holder is killed
    Given processes: 2 entries and 3 control processes
    When a control process that is not the holder is killed, loses its folder and is promoted again
    And the control holder is killed while 12 workspaces are made
    Then each accepted workspace is there with its key

  # On an update the supervisor sends SIGTERM while answers stream. The process must finish them before it exits; otherwise
  # answers would be truncated.
  @stop
  Scenario: An entry is stopped as planned while it streams
    Given processes: 2 entries and 3 control processes
    When 12 chats of 300 tokens stream over entry 1
    And the process of entry 1 is stopped as planned
    Then it ends with the exit code 0
    And all streams came whole

  # If keys were checked only when a request arrives, a leaked key could be used for as long as a stream stays open.
  @key
  Scenario: A key is withdrawn while its stream runs
    Given processes: 2 entries and 3 control processes
    When 1 chats of 5000 tokens stream over entry 1
    And their key is withdrawn
    Then the streams end with the error "key-withdrawn" and the outcome "partly-run"
    And neither entry takes the key any more
    And no upstream of the processes has seen a key

  # Callers keep their connections open and go on using them while entries are stopped and upstreams are silent. An entry
  # must not cut an answer because its upstream says nothing, nor take a request that it can't finish before it exits.
  @stop @silence
  Scenario Outline: Entries are stopped while upstreams are silent, drawn from seed <seed>
    When the stops drawn from seed <seed> are played for 8000 ms between processes
    Then no answer that was due has been cut, and no call has run twice

    Examples:
      | seed |
      | 8    |
      | 27   |
