Feature: A worker counts as failed after three polls without an answer in a row

  Scenario Outline: Polls that were missed before a worker's owner changed don't count afterwards
    Given an instance whose worker has missed 2 polls
    When the instance <meanwhile>, and the worker misses 1 poll more
    Then the worker is reported as <condition>

    Examples:
      | meanwhile                       | condition |
      | goes on owning it               | failed    |
      | gives it to a peer and takes it | serving   |
