Feature: Clients that connect while a daemon starts wait for it
  Guards against requests that are lost because connections are reset while the
  daemon's modules are imported, which takes most of the time of a start.

  Scenario: The clients' address accepts connections before the import
    Given settings that name a free address for clients
    When the daemon starts and a client connects during its import
    Then the connection was accepted and the daemon was handed the listener

  Scenario Outline: With <settings> the daemon is started without a listener
    Given settings with <settings>
    When the daemon starts and a client connects during its import
    Then the daemon was handed no listener

    Examples:
      | settings                   |
      | no address for clients     |
      | text that is no TOML       |
      | an address that is in use  |

  Scenario: A check of the settings opens no listener
    Given settings that name a free address for clients
    When the daemon is started to check them
    Then the daemon was handed no listener
