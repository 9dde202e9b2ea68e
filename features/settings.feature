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

  Scenario: Settings of orders reach the orders task
    Guards against a key that is accepted but has no effect.
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

      [session]
      term_s = 40

      [orders]
      interval_s = 2.5
      call_timeout_s = 1.5
      longest_term_s = 35.5
      longest_order_s = 121.5
      silent_after_s = 6.5
      max_models = 3
      max_loads = 5
      max_demand_loads = 6
      fleet_loads = 17
      max_reloading_share = 0.35
      residence_s = 301.5
      fill_share = 0.75
      hysteresis_share = 0.26
      fall_after_s = 61.5
      """
    When the settings are loaded
    Then each key of orders has its value in the task's settings, the longest term 40

  Scenario: Contradictory settings of orders are rejected
    Guards against an engine that counts as lost between two rounds, and against an
    order that counts as expired while its call is in progress.
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

      [orders]
      interval_s = 10
      call_timeout_s = 5
      longest_order_s = 5
      silent_after_s = 6
      max_loads = 0
      hysteresis_share = 1.0
      """
    When the settings are loaded
    Then the problems name the keys
      | key                     |
      | orders.longest_order_s  |
      | orders.silent_after_s   |
      | orders.max_loads        |
      | orders.hysteresis_share |

  Scenario Outline: A file that can't be parsed gives one error
    Given a settings file with the bytes <content>
    When the settings are loaded
    Then there is one problem that mentions "<text>"

    Examples:
      | content       | text            |
      | 5b6461656d6f6e | Expected        |
      | 6e616d653dff   | not UTF-8       |
