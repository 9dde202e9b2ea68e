Feature: Client connections are passed from the HTTP server to the relay

  Background:
    Given 1 engine that makes a token every 2 ms, behind the front end

  # Guards against requests on a connection that are lost or answered out of order.
  Scenario Outline: A stream is requested <how>
    When a stream of 20 tokens is requested <how>
    Then the responses before it are "<before>"
    And the stream brings the engine's whole text

    Examples:
      | how                                     | before  |
      | on a connection that was used before    | 200     |
      | right behind another request            | 200     |
      | right behind two other requests         | 200 404 |
      | with a body in chunks                   |         |
      | with a body that waits for 100-continue | 100     |
      | one byte at a time                      |         |
      | by HTTP/1.0                             |         |

  # Guards against file descriptors that the HTTP server and the relay use at once.
  Scenario: Short streams and kept connections at the same time
    When 6 clients make 40 short streams each while 4 clients make 150 calls each
    Then every stream is complete and every call gets a response

  # Guards against running out of file descriptors.
  Scenario: Connections above the limit wait until others close
    Given at most 8 connections are served at a time
    When 12 connections are opened
    Then at least 1 of them gets no response
    When the other connections are closed
    Then the waiting connections get a response

  # Guards against an error at a stop, or a byte in a descriptor that is in use again, since
  # the server's thread closes its wake-up pipe while another thread still writes to it.
  Scenario: A server stops although its thread wakes before the call to stop it returns
    Given an HTTP server whose thread is woken just before it is called
    When it is stopped
    Then it has ended without an error
    And its wake-up pipe is closed

  Scenario: A request pipelined behind a stream is not run
    When a stream of 20 tokens is requested with a second request behind it
    Then the stream brings the engine's whole text
    And the engines have run it once

  Scenario: The relay is idle when nothing happens
    Given a stream was served
    When nothing happens for 1 s
    Then the relay's thread has not woken up
