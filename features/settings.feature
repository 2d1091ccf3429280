Feature: All settings are validated before anything starts

  Scenario Outline: The examples of both deployments are valid
    When the settings and the patch of <deployment> are read
    Then the settings have no finding
    And the settings example makes 5 services of 6 workers with <cores> cores and <memory> GB
    And the settings example has 6 teams, 3 data centres, racks of 4 and the spare pool <spare>
    And the settings example weighs <weighed> most

    Examples:
      | deployment          | cores | memory | spare         | weighed                |
      | balloon-association | 32    | 64     | member-portal | share                  |
      | toca-mreze          | 64    | 256    | accounts      | roll_out_time and moves |

  Scenario Outline: A wrong value is one finding at its line and key
    Given the settings of balloon-association
    When the settings key <key> is <value>
    Then the settings have the one finding <key> with '<words>'

    Examples: Missing, unknown and of the wrong type
      | key                           | value             | words                     |
      | instance.instance_id          | absent            | is missing                |
      | caller.port                   | absent            | is missing                |
      | admin.token_sha256_hex        | absent            | is missing                |
      | log.host                      | absent            | is missing                |
      | caller.prot                   | 1                 | not a known key           |
      | workers.more                  | 1                 | not a known key           |
      | walkers.more                  | 1                 | not a known key           |
      | instance.region               | 7                 | must be a text, not 7     |
      | caller.port                   | "8080"            | must be a whole number    |
      | caller.port                   | 8080.0            | must be a whole number    |
      | caller.port                   | true              | must be a whole number    |
      | log.timeout_s                 | nan               | must be a finite number   |
      | log.timeout_s                 | [1.0]             | must be a finite number   |
      | log.timeout_s                 | 1979-05-27        | must be a finite number   |
      | logging.format                | "xml"             | one of text, json         |
      | logging.level                 | "loud"            | debug, info               |

    Examples: Out of range
      | key                           | value             | words                     |
      | instance.instance_id          | ""                | must be 1 to 63           |
      | instance.data_centre          | "a b"             | must be 1 to 63           |
      | instance.rack                 | "-a"              | must be 1 to 63           |
      | caller.host                   | "entry.example"   | must be an IP number      |
      | log.host                      | "10.0.0.256"      | must be an IP number      |
      | tracing.export_host           | "localhost"       | must be an IP number      |
      | caller.port                   | 0                 | from 1 to 65535           |
      | caller.port                   | 65536             | from 1 to 65535           |
      | caller.header_limit_bytes     | 0                 | must be from              |
      | caller.body_limit_bytes       | -1                | must be from              |
      | caller.connection_limit_count | 0                 | must be from              |
      | caller.idle_timeout_s         | 0                 | must be from              |
      | caller.header_timeout_s       | -1                | must be from              |
      | admin.token_sha256_hex        | "abc"             | 64 hexadecimal digits     |
      | peer.cluster_key_hex          | "0011"            | at least 16 bytes         |
      | peer.cluster_key_hex          | "zz0102030405060708090a0b0c0d0e0f" | hexadecimal |
      | peer.message_limit_bytes      | 99999999          | must be from              |
      | log.append_limit_per_s        | 0                 | must be from              |
      | instance_list.lag_s           | 0                 | must be from              |
      | workers.connect_timeout_s     | 0                 | must be from              |
      | workers.answer_timeout_s      | 1e9               | must be from              |
      | rights.support_s              | 61                | must be from              |
      | tracing.sample_ratio          | 1.01              | from 0 to 1               |

    Examples: Invalid in combination
      | key                           | value             | words                     |
      | rights.pulse_s                | 1.0               | below half                |
      | instance_list.poll_s          | 11.0              | not be above              |
      | admin.port                    | 8080              | caller.port too           |
      | peer.port                     | 8081              | admin.port too            |
      | tracing.export_host           | absent            | export_port is            |

  Scenario Outline: One address serves only one purpose
    Given the settings of balloon-association
    When the settings key caller.host is <host>
    And the settings key <table>.port is 8080
    And the settings key <table>.host is <other>
    Then the settings have the one finding <table>.port with 'caller.port too'

    Examples:
      | host       | table       | other      |
      | "0.0.0.0"  | admin       | "10.1.1.1" |
      | "10.1.1.1" | peer        | "0.0.0.0"  |
      | "10.1.1.1" | log         | "10.1.1.1" |
      | "::"       | maintenance | "10.1.1.1" |

  Scenario: All findings are reported at once
    Given the settings of balloon-association
    When one file has every wrong settings value above
    Then the settings have a finding for each

  Scenario: Two hosts may use the same port
    Given the settings of balloon-association
    When the settings key admin.port is 8080
    And the settings key admin.host is "10.1.1.1"
    Then the settings are read

  Scenario Outline: A file that isn't TOML is reported with line and column
    When the settings file holds <content>
    Then the settings have a finding at '<place>' with '<words>'

    Examples:
      | content                           | place   | words                |
      | [caller                           | :1:8    | at the end of        |
      | a = 1;b = %                       | :2:5    | Invalid value        |
      | a = 1;;b = [1,                    | :3:8    | is not TOML          |
      | a = 1;a = 2                       | :2:6    | Cannot overwrite     |
      | caller = 1                        | :1: caller | must be a table   |
      | a byte that is no UTF-8 in line 3 | :3      | is not UTF-8         |
      | nothing at all                    | : caller.port | is missing     |
      | lists without end                 | nowhere | recursion            |
      | a number without end              | nowhere | digits               |
      | more than a megabyte              | nowhere | over 1048576 bytes   |

  Scenario Outline: A file that can't be read is a finding
    When the settings path is <path>
    Then the settings have a finding at 'nowhere' with 'cannot be read'

    Examples:
      | path         |
      | missing      |
      | a folder     |
      | no path      |

  Scenario: Any file content yields settings or findings
    Then any settings file, however malformed, yields settings or findings

  Scenario: A value of the wrong type is a finding at its key
    Then any settings key with a value of another type has its finding

  Scenario: Secrets are never shown
    Given the settings of balloon-association
    Then the settings show no secret, nor does a finding about one

  Scenario: The operators' page lists every key with its default
    Then the settings table of docs/OPERATIONS.md has every key and its default
