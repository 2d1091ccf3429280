Feature: Drains of a loop that is late
  A process that gets no processor time may wake after the end of its drain. What has
  arrived by then is still answered, in a short time that is kept for it.

  # Guards against cut requests: a drain without time left ran no pass of the loop.
  Scenario Outline: Requests that a late loop finds after its drain's end are answered, <on>
    When requests reach a server on <on> while it is late for its whole drain
    Then each of these requests got 200

    Examples: connections
      | on               |
      | new connections  |
      | idle connections |

  # Guards against cut requests: the end of a drain passed while the loop was late.
  Scenario: Answers that are due while a loop is late over its drain's end are sent
    When a loop is late over the end of a drain while requests are being answered
    Then each of these requests got 200

  Scenario Outline: A late loop gets a short time after the end of its drain, once, <case>
    Given a drain of <drain> s
    When the loop asks <times> after its start what is left
    Then it has <lefts> left

    Examples: drains
      | case                      | drain | times           | lefts          |
      | on time                   | 0.5   | 0.2, 0.5, 0.505 | 0.3, 0.0, 0.0  |
      | late over the end         | 0.5   | 0.2, 0.52, 0.6  | 0.3, 0.3, 0.22 |
      | late twice                | 0.5   | 2.0, 4.0, 5.0   | 0.3, 0.0, 0.0  |
      | without time at the start | 0     | 0.1, 0.3        | 0.2, 0.0       |
