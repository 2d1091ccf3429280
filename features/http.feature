Feature: The callers' listener limits the effect of one caller on the others
  Malformed input gets a 4xx that names every fault and says "not-run"; slow or
  greedy callers are cut off; the connection of another caller keeps working.

  Scenario Outline: A request with <fault> is rejected
    Given an entry instance with a steady caller
    When an HTTP caller sends a request with <fault>
    Then the HTTP response is a <status> "not-run" that names <places>
    And the steady caller is still served

    Examples:
      | fault                              | status | places                                          |
      | no service                         | 400    | header cicadatrail-service                      |
      | neither service nor queue          | 400    | header cicadatrail-service, header cicadatrail-queue |
      | two keys                           | 400    | header cicadatrail-key                          |
      | a size in words                    | 400    | header cicadatrail-size                         |
      | a size that names a resource twice | 400    | header cicadatrail-size                         |
      | a size that is beyond all          | 400    | header cicadatrail-size                         |
      | a deadline of 0                    | 400    | header cicadatrail-deadline-ms                  |
      | a deadline of 1e9                  | 400    | header cicadatrail-deadline-ms                  |
      | an urgency that is none            | 400    | header cicadatrail-urgency                      |
      | a doubtful repeatable              | 400    | header cicadatrail-repeatable                   |
      | a request id of version 4          | 400    | header cicadatrail-request-id                   |
      | a request id in braces             | 400    | header cicadatrail-request-id                   |
      | a misspelt own header              | 400    | header cicadatrail-dead-line                    |
      | five faults                        | 400    | header cicadatrail-service, header cicadatrail-queue, header cicadatrail-size, header cicadatrail-urgency, header cicadatrail-deadline-ms |
      | the method CONNECT                 | 400    | method                                          |
      | no host                            | 400    | request                                         |
      | two lengths                        | 400    | request                                         |
      | a length and chunks                | 400    | request                                         |
      | a length below zero                | 400    | request                                         |
      | an unknown transfer coding         | 501    | request                                         |
      | a space in a header's name         | 400    | request                                         |
      | a line that is no request          | 400    | request                                         |
      | a head that is too long            | 431    | request                                         |
      | a head that stops                  | 408    | request                                         |
      | a chunk without a size             | 408    | -                                               |
      | a body that stops                  | 408    | -                                               |
      | a body that is too long            | 413    | -                                               |

  Scenario Outline: Callers that <behaviour>
    Given an entry instance with a steady caller
    When HTTP callers <behaviour>
    Then the HTTP result is <result>
    And the steady caller is still served

    Examples:
      | behaviour                                    | result                                    |
      | send a long body a byte at a time            | refused by the deadline                   |
      | stop reading a long reply                    | cut with bounded memory                   |
      | read a long reply slowly                     | whole with bounded memory                 |
      | open more connections than there may be      | refused with a reason                     |
      | pipeline three requests                      | three own answers in order                |
      | close their sending side while it runs       | given up                                  |
      | expect 100-continue                          | told to go on and then answered           |
      | use HTTP/1.0 for a short reply               | whole with a length                       |
      | use HTTP/1.0 for a long reply                | whole with a length                       |
      | use HTTP/1.0 for a long reply without length | unknown                                   |
      | ask by HEAD                                  | the length without a body                 |
      | get a 204                                    | neither a length nor a body               |
      | get a 304                                    | neither a length nor a body               |
      | get a long reply                             | whole with its outcome as a trailer       |
      | get a long reply that is cut                 | cut without a proper end                  |
      | send a refused body to its end               | told before the connection closes         |
