Feature: Settings of a daemon are checked before use

  Scenario: A complete settings file is accepted
    Given a settings file with
      """
      [daemon]
      name = "entry-1"
      zone = "zone-a"
      region = "region-1"
      listen = "127.0.0.1:18080"
      cluster_listen = "127.0.0.1:18081"

      [platform]
      table_service = "127.0.0.1:18001"
      object_store = "127.0.0.1:18001"
      vm_list = "127.0.0.1:18001"
      """
    When the settings are loaded
    Then the daemon is named "entry-1"

  Scenario: Every problem is reported with file, key and reason
    Given a settings file with
      """
      [daemon]
      name = "Entry 1"
      zone = "zone-a"
      region = "region-1"
      listen = "127.0.0.1"
      cluster_listen = "127.0.0.1:18081"
      worker_thread = 4

      [platform]
      table_service = "127.0.0.1:18001"
      object_store = "127.0.0.1:18001"
      vm_list = "127.0.0.1:18001"
      timeout_s = "soon"
      """
    When the settings are loaded
    Then the problems name the keys
      | key                  |
      | daemon.name          |
      | daemon.listen        |
      | daemon.worker_thread |
      | platform.timeout_s   |

  Scenario Outline: A file that can't be parsed is one clear error
    Given a settings file with the bytes <content>
    When the settings are loaded
    Then there is one problem that mentions "<text>"

    Examples:
      | content       | text            |
      | 5b6461656d6f6e | Expected        |
      | 6e616d653dff   | not UTF-8       |
