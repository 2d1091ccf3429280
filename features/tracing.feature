Feature: Traces have one span for each hop

  Scenario: The hops of a request form one trace, exported by the event loop
    When a traced request passes an entry instance, a peer and a worker
    Then the collector has one trace of three spans, each the parent of the next
    And the last traceparent names the last span
    And tracing has started no thread

  Scenario: Without a collector a caller's trace context is forwarded unchanged
    When an untraced request passes an entry instance, a peer and a worker
    Then the collector has no span and the traceparent is the caller's own

  Scenario: A collector that is down loses spans, not requests
    When a traced request meets a collector that is down
    Then its spans are dropped and its hops end as before

  Scenario: An entry instance's decision not to sample a request holds for all hops
    When a request that is not sampled passes an entry instance, a peer and a worker
    Then the collector has no span and the traceparent says not sampled
