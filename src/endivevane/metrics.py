"""Prometheus metrics exported by a daemon."""

from __future__ import annotations

import prometheus_client

SETTINGS_RELOADS = prometheus_client.Counter(
    "endivevane_settings_reloads",
    "Settings files read again on SIGHUP, by outcome (applied, refused).",
    ["outcome"],
)
REFUSALS = prometheus_client.Counter(
    "endivevane_refusals",
    "Requests refused, by reason and run state.",
    ["reason", "run_state"],
)
SHARE_REFUSALS = prometheus_client.Counter(
    "endivevane_share_refusals",
    "Requests refused slots as their organisation used its share of them.",
)
RETRIES = prometheus_client.Counter(
    "endivevane_retries", "Attempts after the first, by reason.", ["reason"]
)
HANDOVERS = prometheus_client.Counter(
    "endivevane_kv_handovers",
    "Hand-overs of KV cache between engines: done, or the step that failed.",
    ["outcome"],
)
RETRIES_DENIED = prometheus_client.Counter(
    "endivevane_retries_denied", "Retries that were not made, by reason.", ["reason"]
)
ONLINE_REQUESTS = prometheus_client.Counter(
    "endivevane_online_requests", "Online requests ended, by outcome.", ["outcome"]
)
STREAMS_RESUMED = prometheus_client.Counter(
    "endivevane_streams_resumed",
    "Streams that clients resume, by what told their software version.",
    ["source"],
)
STREAM_RECORDS = prometheus_client.Counter(
    "endivevane_stream_records",
    "Records of the software versions of streams, by outcome.",
    ["outcome"],
)
PLAN_CONFIRMATIONS = prometheus_client.Counter(
    "endivevane_plan_confirmations",
    "Decisions that needed the plans of versions as of now, by whether the store, or a"
    " relay with the store, confirmed them.",
    ["outcome"],
)
COPY_AGE_SECONDS = prometheus_client.Gauge(
    "endivevane_copy_age_seconds",
    "Time since a copy of a table was known to be the store's, by table.",
    ["table"],
)
FULL_READS = prometheus_client.Counter(
    "endivevane_full_reads",
    "Reads of all rows of a range, by table and outcome.",
    ["table", "outcome"],
)
READ_PAGES = prometheus_client.Counter(
    "endivevane_read_pages",
    "Pages that reads of the store have had, by table.",
    ["table"],
)
VERSION_PLANS = prometheus_client.Counter(
    "endivevane_version_plans",
    "Plans of software versions that this daemon wrote, by outcome.",
    ["outcome"],
)
UNANSWERED_REQUESTS = prometheus_client.Counter(
    "endivevane_unanswered_requests",
    "Requests that were read and whose connection ended without a whole response, by"
    " cause.",
    ["cause"],
)
FIRST_TOKEN_SECONDS = prometheus_client.Histogram(
    "endivevane_first_token_seconds",
    "Time from request to first token.",
    buckets=(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5, 10),
)
STREAMS_OPEN = prometheus_client.Gauge(
    "endivevane_streams_open", "Online requests in flight or waiting."
)
RELAY_FAULTS = prometheus_client.Counter(
    "endivevane_relay_faults", "Unexpected exceptions in the relay's thread."
)
BATCH_ITEMS = prometheus_client.Counter(
    "endivevane_batch_items", "Batch items ended, by outcome.", ["outcome"]
)
BATCH_RESTARTS = prometheus_client.Counter(
    "endivevane_batch_restarts",
    "Batch items that lost their events, since they went on at another service or "
    "version.",
)
BATCH_ITEMS_HELD = prometheus_client.Counter(
    "endivevane_batch_items_held",
    "Batch items that run no more, since too many of their runs may have failed.",
)
BATCH_COMMITS = prometheus_client.Counter(
    "endivevane_batch_commits", "Chunk commits, by outcome.", ["outcome"]
)
RETENTION_DELETED = prometheus_client.Counter(
    "endivevane_retention_deleted",
    "Objects and rows deleted at the end of their retention, by kind.",
    ["kind"],
)
RETENTION_ERRORS = prometheus_client.Counter(
    "endivevane_retention_errors",
    "Parts of the tables whose sweep was broken off, by cause.",
    ["cause"],
)
STORE_CALLS = prometheus_client.Counter(
    "endivevane_store_calls",
    "Table service calls, by kind and outcome.",
    ["kind", "outcome"],
)
STORE_ANSWER_BYTES = prometheus_client.Counter(
    "endivevane_store_answer_bytes",
    "Bytes of the bodies of answers to store calls, by call and by who answered"
    " (store, daemon).",
    ["kind", "source"],
)
STORE_ANSWER_SECONDS = prometheus_client.Histogram(
    "endivevane_store_answer_seconds",
    "Time from a store call to its whole answer, by call and by who answered; a long"
    " poll is held until there is a change.",
    ["kind", "source"],
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5),
)
EMPTY_READ_AGE_SECONDS = prometheus_client.Histogram(
    "endivevane_empty_read_age_seconds",
    "Age of the copy of the jobs at each read of results that found none.",
    buckets=(0.1, 0.2, 0.4, 0.7, 1, 2, 4, 8, 16),
)
CONFIG_REVISION = prometheus_client.Gauge(
    "endivevane_config_revision", "Configuration revision in force."
)
MEMBERS = prometheus_client.Gauge(
    "endivevane_members", "Daemons known, by state.", ["state"]
)
PLACES_WITHOUT_COORDINATOR = prometheus_client.Counter(
    "endivevane_places_without_coordinator",
    "Requests placed by the daemon's own view, since no coordinator answered.",
)
TARGET_FAULTS = prometheus_client.Counter(
    "endivevane_target_faults",
    "Answers of targets that break HTTP, by cause.",
    ["cause"],
)
REVOKED_BUFFERS = prometheus_client.Counter(
    "endivevane_revoked_buffers",
    "Connections given up because they kept most of an exceeded memory budget.",
    ["purpose"],
)
CLIENT_LIMITS = prometheus_client.Counter(
    "endivevane_client_limits",
    "Requests refused and connections of clients closed, by the limit.",
    ["limit"],
)
TARGET_ENDS = prometheus_client.Counter(
    "endivevane_target_ends",
    "Targets that ended while a request of this daemon waited for its first event.",
)
QUARANTINES = prometheus_client.Counter(
    "endivevane_quarantines",
    "Quarantines of requests that crash targets, as decided by this daemon.",
)
LINK_BYTES = prometheus_client.Counter(
    "endivevane_link_bytes",
    "Bytes over the inter-region link, by purpose.",
    ["purpose"],
)
TARGET_REQUESTS = prometheus_client.Counter(
    "endivevane_target_requests",
    "Requests and batch items sent to targets, by how far the target is (zone,"
    " other_zone, other_region).",
    ["reach"],
)
TARGET_BYTES = prometheus_client.Counter(
    "endivevane_target_bytes",
    "Bytes of requests sent to targets and of responses received, by how far the target"
    " is (zone, other_zone, other_region).",
    ["reach", "direction"],
)
RATE_LIMITED_TARGETS = prometheus_client.Gauge(
    "endivevane_rate_limited_targets", "Targets that name a rate limit."
)
RATE_TOKENS = prometheus_client.Counter(
    "endivevane_rate_tokens",
    "Tokens to send one request to a target with a rate limit, by outcome: issued for"
    " other daemons or this one, used, or void as unused.",
    ["outcome"],
)
QUOTA_DECISIONS = prometheus_client.Counter(
    "endivevane_quota_decisions",
    "Requests of organisations with a quota, by decision: admitted, over the quota, or"
    " without a daemon that may decide.",
    ["decision"],
)
QUOTA_TOKENS = prometheus_client.Counter(
    "endivevane_quota_tokens",
    "Tokens of organisations, by outcome: issued by this daemon, or void here.",
    ["outcome"],
)
